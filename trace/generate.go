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

// RequestProfile is the lengths of a class's requests, log-normally distributed.
type RequestProfile struct {
	// MedianPrompt and Output are medians in tokens.
	MedianPrompt mp.Tokens `json:"prompt"`
	MedianOutput mp.Tokens `json:"output"`
	// Sigma is the spread of the logarithm of both.
	Sigma float64 `json:"sigma"`
	// PrefixFraction is the part of prompts that an organisation's requests share.
	PrefixFraction float64 `json:"prefix,omitempty"`
	// DemandRatio is the part of the class's promised share that is offered at a
	// load of 1. Default 1.
	DemandRatio float64 `json:"demand,omitempty"`
}

// Surge multiplies the demand of some traffic for a while.
type Surge struct {
	From mp.Duration `json:"from"`
	To   mp.Duration `json:"to"`
	// Class and Organisation choose the traffic; empty means all.
	Class        mp.ClassName      `json:"class,omitempty"`
	Organisation mp.OrganisationID `json:"organisation,omitempty"`
	Factor       float64           `json:"factor"`
}

// Spec says what to generate.
type Spec struct {
	Seed uint64 `json:"seed"`
	// Duration is how long requests arrive.
	Duration mp.Duration `json:"lasts"`
	// Load is the offered work as a part of the rated capacity, outside of
	// surges.
	Load float64 `json:"load"`
	// Period makes the demand rise and fall like a day of this length; zero
	// keeps it level.
	Period mp.Duration `json:"period,omitempty"`
	// Classes gives the lengths by class.
	Classes map[mp.ClassName]RequestProfile `json:"classes"`
	Surges  []Surge                         `json:"surges,omitempty"`
	Faults  []TimedFault                    `json:"faults,omitempty"`
}

// TimedFault is a fault with its time.
type TimedFault struct {
	At    mp.Duration `json:"at"`
	Fault Fault       `json:"fault"`
}

// promptPart is how many prompt tokens cost an engine as much as one answer
// token.
const promptPart = 16

// dayDepth is how far the demand of a day swings around its mean.
const dayDepth = 0.4

// source is one organisation's class.
type source struct {
	request Request
	shape   RequestProfile
	models  []mp.ModelID
	rate    float64 // requests a second at a load of 1
	prefix  uint64
}

// Generate returns the trace of a specification over a configuration set. The
// same specification gives the same trace.
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

// sourcesOf gives every class its part of the capacity, by its promised share.
func sourcesOf(spec Spec, set *config.Set) ([]source, error) {
	var sources []source
	centres := dataCentres(&set.Fleet)
	total := 0.0
	for ix, co := range set.Contracts {
		for jx := range co.Classes {
			cl := &co.Classes[jx]
			shape, ok := spec.Classes[cl.Name]
			if !ok || len(cl.Models) == 0 {
				continue
			}
			so, err := newSource(co, cl, shape, centres[ix%len(centres)], set)
			if err != nil {
				return nil, errors.Trace(err)
			}
			total += so.rate
			sources = append(sources, so)
		}
	}
	if total == 0 {
		return nil, errors.NotFoundf("class of the specification in a contract")
	}
	capacity := 0.0
	for _, en := range set.Fleet.Engines {
		capacity += float64(en.TokensPerSecond)
	}
	for ix := range sources {
		work := sources[ix].rate / total * capacity * spec.Load
		sources[ix].rate = work / sources[ix].shape.meanWork()
	}
	return sources, nil
}

func newSource(co *config.Contract, cl *config.Class, shape RequestProfile, dc mp.DataCentreID, set *config.Set) (source, error) {
	var models []mp.ModelID
	for _, mo := range set.Fleet.Models {
		if cl.AllowsModel(mo.Name) {
			models = append(models, mo.Name)
		}
	}
	if len(models) == 0 {
		return source{}, errors.NotFoundf("model of class %q of organisation %q", cl.Name, co.Organisation)
	}
	demand := shape.DemandRatio
	if demand == 0 {
		demand = 1
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(string(co.Organisation) + "/" + string(cl.Name)))
	return source{
		request: Request{Organisation: co.Organisation, Class: cl.Name, DataCentre: dc},
		shape:   shape,
		models:  models,
		rate:    float64(cl.Share.PromisedTokensPerSecond) * demand,
		prefix:  hash.Sum64(),
	}, nil
}

func dataCentres(fl *config.Fleet) []mp.DataCentreID {
	var all []mp.DataCentreID
	for _, re := range fl.Regions {
		all = append(all, re.DataCentres...)
	}
	return all
}

// meanWork returns the mean work of a request in answer tokens.
func (sh RequestProfile) meanWork() float64 {
	skew := math.Exp(sh.Sigma * sh.Sigma / 2)
	return skew * (float64(sh.MedianOutput) + float64(sh.MedianPrompt)*(1-sh.PrefixFraction)/promptPart)
}

// generate draws arrivals by thinning a Poisson process of the highest rate.
func (so *source) generate(spec Spec, random *rand.Rand) []Line {
	highest := so.rate * (1 + dayDepth)
	for _, su := range spec.Surges {
		highest *= max(1, su.Factor)
	}
	if highest <= 0 {
		return nil
	}
	var lines []Line
	at := 0.0
	for {
		at += random.ExpFloat64() / highest
		now := time.Duration(at * float64(time.Second))
		if now >= spec.Duration.Std() {
			return lines
		}
		if random.Float64()*highest > so.rateAt(spec, now) {
			continue
		}
		lines = append(lines, Line{At: mp.Duration(now), Request: so.draw(random)})
	}
}

func (so *source) rateAt(spec Spec, now time.Duration) float64 {
	rate := so.rate
	if spec.Period > 0 {
		rate *= 1 + dayDepth*math.Sin(2*math.Pi*now.Seconds()/spec.Period.Std().Seconds())
	}
	for _, su := range spec.Surges {
		if su.covers(so.request, now) {
			rate *= su.Factor
		}
	}
	return rate
}

func (su Surge) covers(rq Request, now time.Duration) bool {
	if now < su.From.Std() || now >= su.To.Std() {
		return false
	}
	return (su.Class == "" || su.Class == rq.Class) && (su.Organisation == "" || su.Organisation == rq.Organisation)
}

func (so *source) draw(random *rand.Rand) *Request {
	rq := so.request
	rq.Model = so.models[random.IntN(len(so.models))]
	rq.Prompt = so.shape.length(so.shape.MedianPrompt, random)
	rq.Output = so.shape.length(so.shape.MedianOutput, random)
	if so.shape.PrefixFraction > 0 {
		rq.PrefixID = so.prefix
		rq.PrefixTokens = min(rq.Prompt, mp.Tokens(float64(so.shape.MedianPrompt)*so.shape.PrefixFraction))
	}
	return &rq
}

// maxLength bounds the lengths that are drawn, in tokens.
const maxLength = 8000

func (sh RequestProfile) length(median mp.Tokens, random *rand.Rand) mp.Tokens {
	drawn := float64(median) * math.Exp(sh.Sigma*random.NormFloat64())
	return mp.Tokens(min(max(1, drawn), maxLength))
}
