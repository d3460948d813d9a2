package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/meter"
	"github.com/mangopaddle/mangopaddle/schedule"
)

const classesPerContract = mp.TierCount

// measureState measures the memory of scheduler and meter, and the size of the
// outcomes that a host reports.
func measureState(_ context.Context, re *Result) error {
	var schedulerByClass, schedulerByEngine, meterByClass []Point
	for _, count := range []int{1000, 3000, 6000, 9000} {
		schedulerByClass = append(schedulerByClass, Point{X: float64(count), Y: medianMeasurement(func() float64 {
			return heapBytesOf(func() any { return schedulerWithClasses(count) })
		})})
		meterByClass = append(meterByClass, Point{X: float64(count), Y: medianMeasurement(func() float64 {
			return heapBytesOf(func() any { return meterWithClasses(count) })
		})})
	}
	for _, count := range []int{12, 70, 141, 282} {
		schedulerByEngine = append(schedulerByEngine, Point{X: float64(count), Y: medianMeasurement(func() float64 {
			return heapBytesOf(func() any { return schedulerWithEngines(count) })
		})})
	}
	var outcomes []Point
	for _, count := range []int{10, 100, 1000} {
		size, err := jsonSize(meterWithClasses(count).Report())
		if err != nil {
			return errors.Trace(err)
		}
		outcomes = append(outcomes, Point{X: float64(count), Y: size})
	}
	re.addFit(OutcomesSize, "classes", "bytes", outcomes)
	re.addFit(SchedulerClassMemory, "active classes", "bytes", schedulerByClass)
	re.addFit(MeterClassMemory, "active classes", "bytes", meterByClass)
	re.addFit(SchedulerEngineMemory, "engines", "bytes", schedulerByEngine)
	return nil
}

// requestsPerEngine is how many requests a scheduler has placed on each engine, on
// average, before its memory is measured.
const requestsPerEngine = 8

// schedulerWithEngines returns a scheduler that has sent prompts with prefixes
// to every engine.
func schedulerWithEngines(count int) *schedule.Scheduler {
	sc := schedule.New()
	sc.SetEngines(newEngines(count, modelCount))
	wl := newWorkload(modelCount, 1)
	for ix := range requestsPerEngine * count {
		sc.Submit(time.Unix(1_700_000_000, 0), wl.requests[ix%len(wl.requests)])
	}
	for ix := range requestsPerEngine * count {
		sc.Done(time.Unix(1_700_000_000, 0), wl.requests[ix%len(wl.requests)].ID, mp.Outcome{AnswerTokens: 1})
	}
	return sc
}

// schedulerWithClasses returns a scheduler that has handled one request of each
// class.
func schedulerWithClasses(count int) *schedule.Scheduler {
	sc := schedule.New()
	sc.SetEngines(newEngines(modelCount, modelCount))
	now := time.Unix(1_700_000_000, 0)
	for ix := range count {
		now = now.Add(10 * time.Millisecond)
		id := mp.RequestID("request-" + strconv.Itoa(ix))
		sc.Submit(now, mp.Request{
			ID:           id,
			Organisation: organisationName(ix / classesPerContract),
			Class:        className(ix % classesPerContract),
			Model:        modelName(ix % modelCount),
			MaxWait:      time.Second,
			PromisedRate: 10,
		})
		sc.Done(now, id, mp.Outcome{AnswerTokens: 100})
	}
	return sc
}

func className(ix int) mp.ClassName {
	return mp.ClassName("class-" + strconv.Itoa(ix))
}

// meterWithClasses returns a meter that has recorded one request of each class.
func meterWithClasses(count int) *meter.Meter {
	me := meter.New(tally.NoopScope)
	for ix := range count {
		class := &config.Class{Name: className(ix % classesPerContract)}
		rr := me.StartRequest(organisationName(ix/classesPerContract), class)
		rr.RecordFirstToken(time.Millisecond)
		rr.RecordCompleted(1)
	}
	return me
}

// contractJSON returns the JSON of a contract with the fields that operators
// usually set.
func contractJSON(ix int) []byte {
	co := config.Contract{
		Organisation: organisationName(ix),
		Keys:         []config.APIKey{{Name: "key", SHA256: fmt.Sprintf("%064x", ix)}},
	}
	for number := range classesPerContract {
		co.Classes = append(co.Classes, config.Class{
			Name:    className(number),
			Tier:    mp.Tier(number),
			Models:  []mp.ModelID{modelName(ix % modelCount), modelName((ix + 1) % modelCount)},
			Targets: config.Targets{FirstToken: mp.Duration(900 * time.Millisecond), BetweenTokens: mp.Duration(54 * time.Millisecond)},
			Share:   config.Share{PromisedTokensPerSecond: 100, MaxTokensPerSecond: 1000},
		})
	}
	text, err := json.Marshal(co)
	if err != nil {
		panic(err) // the configuration types always marshal
	}
	return text
}

// publishedValues returns a published set with the 282 engines of one data centre
// and the contract of each organisation.
func publishedValues(organisations int) map[mp.ConfigKey]mp.PublishedValue {
	fl := config.Fleet{Regions: []config.Region{{Name: "r", DataCentres: []mp.DataCentreID{"d"}}}}
	for ix := range modelCount {
		fl.Models = append(fl.Models, config.Model{Name: modelName(ix)})
	}
	for ix, en := range newEngines(282, modelCount) {
		fl.Engines = append(fl.Engines, config.Engine{Name: en.ID, Address: "127.0.0.1:" + strconv.Itoa(10000+ix), DataCentre: "d", Models: en.Models})
	}
	text, err := json.Marshal(fl)
	if err != nil {
		panic(err) // the configuration types always marshal
	}
	set := map[mp.ConfigKey]mp.PublishedValue{config.FleetKey: {Key: config.FleetKey, Position: mp.Position{Revision: 1}, Value: text}}
	for ix := range organisations {
		key := config.ContractKey(organisationName(ix))
		set[key] = mp.PublishedValue{Key: key, Position: mp.Position{Revision: 1}, Value: contractJSON(ix)}
	}
	return set
}

// activeConfig is what a host keeps in memory for the active configuration.
type activeConfig struct {
	decoder         *config.Decoder
	publishedValues map[mp.ConfigKey]mp.PublishedValue
	set             *config.Set
	snapshot        *blackboard.Snapshot
}

func newActiveConfig(organisations int) (*activeConfig, error) {
	decoder, err := config.NewDecoder()
	if err != nil {
		return nil, errors.Trace(err)
	}
	ac := &activeConfig{decoder: decoder, publishedValues: publishedValues(organisations)}
	return ac, ac.apply(mp.Position{Revision: 1})
}

// apply decodes the published values and makes them the active configuration.
func (ac *activeConfig) apply(position mp.Position) error {
	set, faults := ac.decoder.Decode(position, ac.publishedValues)
	if set == nil {
		return errors.Trace(faults)
	}
	bo := blackboard.New("h", "d")
	bo.Config = set
	ac.set, ac.snapshot = set, blackboard.NewSnapshot(bo)
	return nil
}

// measureConfiguration measures the memory of contracts, the time to apply a
// change, and the size of published values.
func measureConfiguration(_ context.Context, re *Result) error {
	var memory, applyTime []Point
	for _, count := range []int{200, 600, 1200, 1800} {
		var lastErr error
		memory = append(memory, Point{X: float64(count), Y: heapBytesOf(func() any {
			ac, err := newActiveConfig(count)
			lastErr = err
			return ac
		})})
		if lastErr != nil {
			return errors.Trace(lastErr)
		}
		point, err := measureApply(count)
		if err != nil {
			return errors.Trace(err)
		}
		applyTime = append(applyTime, point)
	}
	re.addFit(ContractMemory, "contracts", "bytes", memory)
	re.addFit(ConfigApplyTime, "contracts", "ns", applyTime)
	re.addScalar(ContractValueSize, float64(len(contractJSON(1))), "bytes")
	size, err := jsonSize(config.Engine{Name: "utrecht-1-e100", Address: "10.100.100.100:8000", DataCentre: "utrecht-1", Models: []mp.ModelID{"model-12"}, Slots: 220})
	re.addScalar(EngineValueSize, size, "bytes")
	return errors.Trace(err)
}

// measureApply measures the time to apply a change of one contract among count.
func measureApply(count int) (Point, error) {
	ac, err := newActiveConfig(count)
	if err != nil {
		return Point{}, errors.Trace(err)
	}
	const changes = 20
	key := config.ContractKey(organisationName(0))
	var lastErr error
	nanoseconds := nanosecondsPerCall(changes, func(ix int) {
		position := mp.Position{Revision: mp.Revision(ix + 2)}
		ac.publishedValues[key] = mp.PublishedValue{Key: key, Position: position, Value: contractJSON(0)}
		if err := ac.apply(position); err != nil {
			lastErr = err
		}
	})
	return Point{X: float64(count), Y: nanoseconds}, errors.Trace(lastErr)
}
