package fakeengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/enginemodel"
)

// timedEvent is a cache event with the time from which it can be read.
type timedEvent struct {
	event mp.CacheEvent
	from  time.Time
}

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 1024

func (en *Engine) recordCacheEvent(sq *enginemodel.Sequence) {
	if sq.PrefixID == 0 || en.model.CachedTokens(sq.PrefixID) >= sq.PrefixTokens {
		return
	}
	number := uint64(1)
	if len(en.events) > 0 {
		number = en.events[len(en.events)-1].event.Sequence + 1
	}
	event := mp.CacheEvent{Sequence: number, PrefixID: sq.PrefixID, Tokens: sq.PrefixTokens}
	en.events = append(en.events, timedEvent{event: event, from: en.clock.Now().Add(en.eventLag)})
	if len(en.events) > maxEvents {
		en.events = en.events[1:]
	}
}

func (en *Engine) serveCacheEvents(rw http.ResponseWriter, rq *http.Request) {
	after, _ := strconv.ParseUint(rq.URL.Query().Get("after"), 10, 64)
	en.mu.Lock()
	now := en.clock.Now()
	visible := []mp.CacheEvent{}
	for _, te := range en.events {
		lost := en.eventGap > 0 && te.event.Sequence%en.eventGap == 0
		if te.event.Sequence > after && !te.from.After(now) && !lost {
			visible = append(visible, te.event)
		}
	}
	en.mu.Unlock()
	answer(rw, visible)
}

func (en *Engine) serveLoad(rw http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	now := en.clock.Now()
	if en.reportAt.IsZero() || now.Sub(en.reportAt) >= en.loadLag {
		en.report = mp.EngineLoad{Running: en.model.Running(), Waiting: en.model.Waiting(), Fencing: en.orders.fencing}
		en.reportAt = now
	}
	load := en.report
	load.Age = mp.Duration(now.Sub(en.reportAt))
	en.mu.Unlock()
	answer(rw, load)
}

// orderBook is what the engine was ordered to hold.
type orderBook struct {
	checks  bool
	fencing uint64
	models  []mp.ModelID
	values  map[mp.EngineAction]string
	applied int
}

func newOrderBook(models []mp.ModelID, checks bool) orderBook {
	return orderBook{checks: checks, models: slices.Clone(models), values: map[mp.EngineAction]string{}}
}

func (ob *orderBook) holds(model mp.ModelID) bool {
	return slices.Contains(ob.models, model)
}

// apply carries out an order. It refuses an old fencing number if the engine
// checks them.
func (ob *orderBook) apply(or mp.EngineOrder) error {
	if ob.checks && or.Fencing <= ob.fencing {
		return fmt.Errorf("fencing number %d is not above %d", or.Fencing, ob.fencing)
	}
	ob.fencing = max(ob.fencing, or.Fencing)
	ob.applied++
	switch or.Action {
	case mp.ActionLoad:
		if !ob.holds(or.Model) {
			ob.models = append(ob.models, or.Model)
		}
	case mp.ActionUnload:
		ob.models = slices.DeleteFunc(ob.models, func(model mp.ModelID) bool { return model == or.Model })
	default:
		ob.values[or.Action] = or.Value
	}
	return nil
}

// orderState is what an engine says of its orders.
type orderState struct {
	Fencing uint64                     `json:"fencing"`
	Models  []mp.ModelID               `json:"models"`
	Values  map[mp.EngineAction]string `json:"values"`
	Applied int                        `json:"applied"`
}

func (en *Engine) serveOrderState(rw http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	defer en.mu.Unlock()
	answer(rw, orderState{Fencing: en.orders.fencing, Models: en.orders.models, Values: en.orders.values, Applied: en.orders.applied})
}

func (en *Engine) serveOrder(rw http.ResponseWriter, rq *http.Request) {
	var or mp.EngineOrder
	if err := json.NewDecoder(rq.Body).Decode(&or); err != nil {
		refuse(rw, http.StatusBadRequest, err.Error())
		return
	}
	en.mu.Lock()
	err := en.orders.apply(or)
	en.mu.Unlock()
	if err != nil {
		refuse(rw, http.StatusConflict, err.Error())
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

// kvState is an exported KV cache, reduced to its length.
type kvState struct {
	Tokens mp.Tokens `json:"tokens"`
}

func (en *Engine) serveExport(rw http.ResponseWriter, rq *http.Request) {
	id := mp.RequestID(rq.PathValue("id"))
	en.mu.Lock()
	st, ok := en.streams[id]
	var kept kvState
	if ok {
		kept = kvState{Tokens: st.sequence.Prompt + st.sequence.Produced}
	}
	en.mu.Unlock()
	if !ok {
		refuse(rw, http.StatusNotFound, fmt.Sprintf("request %q is not running", id))
		return
	}
	answer(rw, kept)
}

func (en *Engine) serveImport(rw http.ResponseWriter, rq *http.Request) {
	var kept kvState
	if err := json.NewDecoder(rq.Body).Decode(&kept); err != nil {
		refuse(rw, http.StatusBadRequest, err.Error())
		return
	}
	en.mu.Lock()
	en.kv[mp.RequestID(rq.PathValue("id"))] = kept
	en.mu.Unlock()
	rw.WriteHeader(http.StatusNoContent)
}

func answer(rw http.ResponseWriter, value any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(value)
}
