package trace

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/config"
)

// RequestProfile describes the requests of a class. Their lengths are log-normally
// distributed.
type RequestProfile struct {
	// MedianPromptTokens and MedianAnswerTokens are the median lengths of prompts and
	// answers.
	MedianPromptTokens mp.Tokens `json:"prompt"`
	MedianAnswerTokens mp.Tokens `json:"output"`
	// Sigma is the standard deviation of the logarithm of both lengths.
	Sigma float64 `json:"sigma"`
	// PrefixFraction is the length of the shared prefix of all prompts of an
	// organisation's class, as a fraction of the median prompt.
	PrefixFraction float64 `json:"prefix,omitempty"`
	// DemandRatio is the class's demand relative to its promised rate: the offered work
	// is divided between the classes in proportion to their promised rates times this
	// ratio. The default is 1.
	DemandRatio float64 `json:"demand,omitempty"`
}

// Surge multiplies the demand of the selected traffic between two times.
type Surge struct {
	// From and To are times since the start of the trace.
	From mp.Duration `json:"from"`
	To   mp.Duration `json:"to"`
	// Class and Organisation select the traffic; empty means all.
	Class        mp.ClassName      `json:"class,omitempty"`
	Organisation mp.OrganisationID `json:"organisation,omitempty"`
	Factor       float64           `json:"factor"`
}

// Spec specifies a trace to generate.
type Spec struct {
	Seed uint64 `json:"seed"`
	// Duration is the time during which requests arrive.
	Duration mp.Duration `json:"lasts"`
	// Load is the offered work as a fraction of the total rated tokens per second of
	// the engines, outside of surges.
	Load float64 `json:"load"`
	// Period is the length of the simulated day over which the demand varies; with
	// zero it is constant.
	Period mp.Duration `json:"period,omitempty"`
	// Classes holds the request profiles by class. Other classes have no requests.
	Classes map[mp.ClassName]RequestProfile `json:"classes"`
	Surges  []Surge                         `json:"surges,omitempty"`
	Faults  []TimedFault                    `json:"faults,omitempty"`
}

// TimedFault is a fault with the time at which it begins.
type TimedFault struct {
	At    mp.Duration `json:"at"`
	Fault Fault       `json:"fault"`
}

// promptTokensPerAnswerToken is the number of prompt tokens that cost an engine as much
// as one answer token.
const promptTokensPerAnswerToken = 16

// dailyAmplitude is the amplitude of the daily variation, as a fraction of the mean
// demand.
const dailyAmplitude = 0.4

// source generates the requests of one organisation's class.
type source struct {
	request Request // template of every request
	profile RequestProfile
	models  []mp.ModelID
	// rate is the mean number of requests per second. newSource sets it to the demand in
	// tokens per second, which sourcesOf scales to the load and converts.
	rate     float64
	prefixID uint64
}

// Generate returns the trace of a specification for a configuration set. It is
// deterministic: the same arguments give the same trace. It returns an error if no
// class of the specification has models and a promised rate in a contract, or if a
// class has no model in the fleet.
func Generate(spec Spec, set *config.Set) ([]Line, error) {
	sources, err := sourcesOf(spec, set)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var lines []Line
	for ix := range sources {
		random := rand.New(rand.NewPCG(spec.Seed, uint64(ix)))
		lines = append(lines, sources[ix].generate(spec, random)...)
	}
	for ix := range spec.Faults {
		lines = append(lines, Line{At: spec.Faults[ix].At, Fault: &spec.Faults[ix].Fault})
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return int(a.At - b.At) })
	return lines, nil
}

// sourcesOf returns the sources of all classes in the specification. The offered work
// is divided between them in proportion to their promised rates and demand ratios.
func sourcesOf(spec Spec, set *config.Set) ([]source, error) {
	var sources []source
	centres := dataCentres(&set.Fleet)
	total := 0.0
	for ix, co := range set.Contracts {
		for jx := range co.Classes {
			cl := &co.Classes[jx]
			profile, ok := spec.Classes[cl.Name]
			if !ok || len(cl.Models) == 0 {
				continue
			}
			so, err := newSource(co, cl, profile, centres[ix%len(centres)], set)
			if err != nil {
				return nil, errors.Trace(err)
			}
			total += so.rate
			sources = append(sources, so)
		}
	}
	if total == 0 {
		return nil, errors.NotFoundf("class of the specification with models and a promised rate in a contract")
	}
	capacity := 0.0
	for _, en := range set.Fleet.Engines {
		capacity += float64(en.TokensPerSecond)
	}
	for ix := range sources {
		tokensPerSecond := sources[ix].rate / total * capacity * spec.Load
		sources[ix].rate = tokensPerSecond / sources[ix].profile.meanCost()
	}
	return sources, nil
}

func newSource(co *config.Contract, cl *config.Class, profile RequestProfile, dc mp.DataCentreID, set *config.Set) (source, error) {
	var models []mp.ModelID
	for _, mo := range set.Fleet.Models {
		if cl.AllowsModel(mo.Name) {
			models = append(models, mo.Name)
		}
	}
	if len(models) == 0 {
		return source{}, errors.NotFoundf("model of class %q of organisation %q", cl.Name, co.Organisation)
	}
	demand := profile.DemandRatio
	if demand == 0 {
		demand = 1
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(string(co.Organisation) + "/" + string(cl.Name)))
	return source{
		request:  Request{Organisation: co.Organisation, Class: cl.Name, DataCentre: dc},
		profile:  profile,
		models:   models,
		rate:     float64(cl.Share.PromisedTokensPerSecond) * demand,
		prefixID: hash.Sum64(),
	}, nil
}

func dataCentres(fl *config.Fleet) []mp.DataCentreID {
	var all []mp.DataCentreID
	for _, re := range fl.Regions {
		all = append(all, re.DataCentres...)
	}
	return all
}

// meanCost returns the mean cost of a request to an engine, in answer tokens. The
// shared prefix is assumed to be cached.
func (rp RequestProfile) meanCost() float64 {
	meanOverMedian := math.Exp(rp.Sigma * rp.Sigma / 2)
	return meanOverMedian * (float64(rp.MedianAnswerTokens) + float64(rp.MedianPromptTokens)*(1-rp.PrefixFraction)/promptTokensPerAnswerToken)
}

// generate draws the arrivals of a Poisson process with varying rate, by thinning a
// process with the maximum rate.
func (so *source) generate(spec Spec, random *rand.Rand) []Line {
	maxRate := so.rate * (1 + dailyAmplitude)
	for _, su := range spec.Surges {
		maxRate *= max(1, su.Factor)
	}
	if maxRate <= 0 {
		return nil
	}
	var lines []Line
	at := 0.0
	for {
		at += random.ExpFloat64() / maxRate
		now := time.Duration(at * float64(time.Second))
		if now >= spec.Duration.Std() {
			return lines
		}
		if random.Float64()*maxRate > so.rateAt(spec, now) {
			continue
		}
		lines = append(lines, Line{At: mp.Duration(now), Request: so.drawRequest(random)})
	}
}

// rateAt returns the arrival rate at a time, in requests per second.
func (so *source) rateAt(spec Spec, now time.Duration) float64 {
	rate := so.rate
	if spec.Period > 0 {
		rate *= 1 + dailyAmplitude*math.Sin(2*math.Pi*now.Seconds()/spec.Period.Std().Seconds())
	}
	for _, su := range spec.Surges {
		if su.appliesTo(so.request, now) {
			rate *= su.Factor
		}
	}
	return rate
}

func (su Surge) appliesTo(rq Request, now time.Duration) bool {
	if now < su.From.Std() || now >= su.To.Std() {
		return false
	}
	return (su.Class == "" || su.Class == rq.Class) && (su.Organisation == "" || su.Organisation == rq.Organisation)
}

func (so *source) drawRequest(random *rand.Rand) *Request {
	rq := so.request
	rq.Model = so.models[random.IntN(len(so.models))]
	rq.PromptTokens = so.profile.drawLength(so.profile.MedianPromptTokens, random)
	rq.AnswerTokens = so.profile.drawLength(so.profile.MedianAnswerTokens, random)
	if so.profile.PrefixFraction > 0 {
		rq.PrefixID = so.prefixID
		rq.PrefixTokens = min(rq.PromptTokens, mp.Tokens(float64(so.profile.MedianPromptTokens)*so.profile.PrefixFraction))
	}
	return &rq
}

// maxLengthTokens limits the drawn lengths of prompts and answers.
const maxLengthTokens = 8000

func (rp RequestProfile) drawLength(median mp.Tokens, random *rand.Rand) mp.Tokens {
	drawn := float64(median) * math.Exp(rp.Sigma*random.NormFloat64())
	return mp.Tokens(min(max(1, drawn), maxLengthTokens))
}
