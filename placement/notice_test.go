package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/placement"
)

const leavingGrace = time.Second

func TestNoticeOfFormerLifetimeDoesNotBindNewOne(t *testing.T) {
	pl := placement.New()
	servers := replicas(1)
	pl.SetServers(servers)
	before, ok := pl.Choose(start, &placement.Request{Service: "app"})
	require.True(t, ok)
	servers[0].StartedAtMillis = 1000
	pl.SetServers(servers)
	require.True(t, pl.RecordLeaving(start, before.Server))
	_, ok = pl.Choose(start, &placement.Request{Service: "app"})
	require.True(t, ok)
}

func TestLeavingEngineIsNotReserved(t *testing.T) {
	pl := placement.New()
	servers := fleet(12, true)
	pl.SetServers(servers)
	for _, se := range servers[:6] {
		pl.RecordLeaving(start, se)
	}
	require.Equal(t, 1, pl.ReservedEngines("engines"))
	stream := draftRequest(7)
	stream.JitterSensitive = true
	ch, ok := pl.Choose(start, stream)
	require.True(t, ok)
	require.NotContains(t, servers[:6], ch.Server)
}

// TestHedgeIsNotSentToAServerThatStops guards against a silent sound server that is left for
// one that is about to stop.
func TestHedgeIsNotSentToAServerThatStops(t *testing.T) {
	pl := placement.New(placement.WithLeavingGrace(leavingGrace))
	servers := replicas(2)
	pl.SetServers(servers)
	require.True(t, pl.RecordLeaving(start, servers[1]))
	others := &placement.Request{Service: "app", Exclude: []mp.ServerID{servers[0].ID}}
	_, ok := pl.Choose(start, others)
	require.True(t, ok, "a retry may go there")
	others.NotLeaving = true
	_, ok = pl.Choose(start, others)
	require.False(t, ok)
}

// noticeModel is what the servers of the service app have said, by ID and start.
type noticeModel struct {
	pl      *placement.Placer
	now     time.Time
	starts  map[mp.ServerID]int64
	listed  map[mp.ServerID]bool
	leaving map[mp.ServerID]map[int64]time.Time
}

func newNoticeModel() *noticeModel {
	mo := &noticeModel{
		pl: placement.New(placement.WithLeavingGrace(leavingGrace)), now: start,
		starts: map[mp.ServerID]int64{}, listed: map[mp.ServerID]bool{}, leaving: map[mp.ServerID]map[int64]time.Time{},
	}
	for _, se := range replicas(4) {
		mo.starts[se.ID], mo.listed[se.ID], mo.leaving[se.ID] = 1, true, map[int64]time.Time{}
	}
	mo.list()
	return mo
}

// server returns the description of a server in its present lifetime.
func (mo *noticeModel) server(id mp.ServerID) placement.Server {
	return placement.Server{ID: id, Service: "app", StartedAtMillis: mo.starts[id]}
}

func (mo *noticeModel) list() {
	var servers []placement.Server
	for _, se := range replicas(4) {
		if mo.listed[se.ID] {
			servers = append(servers, mo.server(se.ID))
		}
	}
	mo.pl.SetServers(servers)
}

// leavingSince returns when a server said that it is about to stop.
func (mo *noticeModel) leavingSince(id mp.ServerID) (time.Time, bool) {
	since, ok := mo.leaving[id][mo.starts[id]]
	return since, ok
}

// mayGet reports whether a listed server may get a request now.
func (mo *noticeModel) mayGet(id mp.ServerID) bool {
	since, leaving := mo.leavingSince(id)
	return !leaving || mo.now.Sub(since) < leavingGrace
}

// others returns the number of other listed servers that stay.
func (mo *noticeModel) others(id mp.ServerID) int {
	count := 0
	for other := range mo.starts {
		_, leaving := mo.leavingSince(other)
		if other != id && mo.listed[other] && !leaving {
			count++
		}
	}
	return count
}

func TestLeavingServersAreChosenOnlyForWantOfOthers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mo := newNoticeModel()
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			mo.now = mo.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(rt, "ms")) * time.Millisecond)
			id := mp.ServerID(rapid.SampledFrom([]string{"app-0", "app-1", "app-2", "app-3"}).Draw(rt, "server"))
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				mo.pl.RecordLeaving(mo.now, mo.server(id))
				if _, ok := mo.leavingSince(id); !ok {
					mo.leaving[id][mo.starts[id]] = mo.now
				}
			case 1:
				mo.listed[id] = !mo.listed[id]
				mo.list()
			case 2:
				mo.starts[id]++
				mo.list()
			}
			mo.check(rt)
		}
	})
}

// check chooses a server and checks that it may get the request, or that none may.
func (mo *noticeModel) check(rt *rapid.T) {
	ch, ok := mo.pl.Choose(mo.now, &placement.Request{Service: "app"})
	if !ok {
		for id := range mo.starts {
			if mo.listed[id] && mo.mayGet(id) {
				rt.Fatalf("no server was chosen although %s may get requests", id)
			}
		}
		return
	}
	if !mo.mayGet(ch.Server.ID) {
		rt.Fatalf("%s was chosen after its grace", ch.Server.ID)
	}
	if _, leaving := mo.leavingSince(ch.Server.ID); leaving && mo.others(ch.Server.ID) > 0 {
		rt.Fatalf("%s was chosen although others stay", ch.Server.ID)
	}
	mo.pl.RecordStart(ch)
	mo.pl.RecordEnd(mo.now, ch, true, placement.Outcome(rapid.IntRange(0, 5).Draw(rt, "outcome")))
}
