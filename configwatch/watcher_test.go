package configwatch_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/configwatch"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/platform/fakestore"
	"github.com/mangopaddle/mangopaddle/testkit"
)

// boardPoster is a Poster that applies messages to a board at once.
type boardPoster struct {
	mu    sync.Mutex
	board *blackboard.Board
	logs  testkit.LogBuffer
}

// Post implements configwatch.Poster.
func (bp *boardPoster) Post(me blackboard.Message) bool {
	bp.mu.Lock()
	defer bp.mu.Unlock()
	me.Apply(bp.board)
	return true
}

// value returns a value of the pending set with its revision; empty if there is none.
func (bp *boardPoster) value(key mp.ConfigKey) (text string, position mp.Position) {
	bp.mu.Lock()
	defer bp.mu.Unlock()
	if bp.board.PendingConfig == nil {
		return "", mp.Position{}
	}
	value := bp.board.PendingConfig.Values[key]
	return string(value.Value), value.Position
}

// serverCount returns the number of servers in the list of machines.
func (bp *boardPoster) serverCount() int {
	bp.mu.Lock()
	defer bp.mu.Unlock()
	return len(bp.board.Machines.Servers)
}

func (bp *boardPoster) logged(event string) bool { return bp.logs.Count(event) > 0 }

func startWatcher(t *testing.T) (*fakestore.Store, *boardPoster) {
	t.Helper()
	store := fakestore.New()
	return store, startWatcherOn(t, store)
}

// startWatcherOn starts a watcher of the store that a handler serves.
func startWatcherOn(t *testing.T, store http.Handler) *boardPoster {
	t.Helper()
	bp := &boardPoster{board: blackboard.New("h", "d")}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(configwatch.New(strings.TrimPrefix(server.URL, "http://"), bp, configwatch.WithLogger(zerolog.New(&bp.logs))))
	return bp
}

func publish(t *testing.T, store *fakestore.Store, values map[mp.ConfigKey]string) {
	t.Helper()
	raw := map[mp.ConfigKey]json.RawMessage{}
	for key, value := range values {
		raw[key] = json.RawMessage(value)
	}
	set, err := platform.EncodeConfigSet(raw)
	require.NoError(t, err)
	store.Put(string(platform.ConfigSetKey), set)
}

// TestUnchangedValuesKeepRevision guards against a change of one value that makes the
// decoder decode all values of the set again.
func TestUnchangedValuesKeepRevision(t *testing.T) {
	store, bp := startWatcher(t)
	publish(t, store, map[mp.ConfigKey]string{"fleet": "1", "contracts/a": "1"})
	testkit.Eventually(t, func() bool { text, _ := bp.value("fleet"); return text == "1" }, "the set was not posted")
	_, first := bp.value("fleet")
	publish(t, store, map[mp.ConfigKey]string{"fleet": "1", "contracts/a": "2"})
	testkit.Eventually(t, func() bool { text, _ := bp.value("contracts/a"); return text == "2" }, "the change was not posted")
	_, fleet := bp.value("fleet")
	_, contract := bp.value("contracts/a")
	require.Equal(t, first, fleet)
	require.True(t, first.Before(contract))
}

func TestInvalidSetIsLoggedAndSkipped(t *testing.T) {
	store, bp := startWatcher(t)
	publish(t, store, map[mp.ConfigKey]string{"fleet": "1"})
	store.Put(string(platform.ConfigSetKey), []byte("{"))
	testkit.Eventually(t, func() bool { return bp.logged("configuration_refused") }, "nothing was logged")
	publish(t, store, map[mp.ConfigKey]string{"fleet": "3"})
	testkit.Eventually(t, func() bool { text, _ := bp.value("fleet"); return text == "3" }, "the next set was not posted")
}

// TestOlderSnapshotAfterCompactionIsIgnored guards against a step back to an older
// list of machines: the store drops the history of the watch, and the read that
// follows returns a list that is older than the known one.
func TestOlderSnapshotAfterCompactionIsIgnored(t *testing.T) {
	store, bp := startWatcher(t)
	store.Put(string(platform.MachinesKey), []byte(`{"servers":[]}`))
	old := store.Snapshot()
	store.Put(string(platform.MachinesKey), []byte(`{"servers":[{"name":"e","state":"leaving"}]}`))
	testkit.Eventually(t, func() bool { return bp.serverCount() == 1 }, "the list was not read")
	reads := store.RangeReadCount()
	store.ServeSnapshot(old)
	testkit.Eventually(t, func() bool { return store.RangeReadCount() > reads+1 }, "the store was not read again")
	require.Equal(t, 1, bp.serverCount(), "the older list was applied")
	store.ServeSnapshot(nil)
	store.Put(string(platform.MachinesKey), []byte(`{"servers":[{"name":"e","state":"leaving"},{"name":"f","state":"leaving"}]}`))
	testkit.Eventually(t, func() bool { return bp.serverCount() == 2 }, "the newer list was not applied")
}

// TestSetWrittenAfterRestoreIsPosted guards against a set that is ignored, because the
// restored store gives its revision out below that of the last set, and against the older
// set of the copy that replaces a newer one.
func TestSetWrittenAfterRestoreIsPosted(t *testing.T) {
	store, bp := startWatcher(t)
	publish(t, store, map[mp.ConfigKey]string{"fleet": "1"})
	testkit.Eventually(t, func() bool { text, _ := bp.value("fleet"); return text == "1" }, "the set was not posted")
	saved := store.Snapshot()
	for _, value := range []string{"2", "3", "4"} {
		publish(t, store, map[mp.ConfigKey]string{"fleet": value})
		testkit.Eventually(t, func() bool { text, _ := bp.value("fleet"); return text == value }, "the set was not posted")
	}
	reads := store.RangeReadCount()
	store.Restore(saved)
	testkit.Eventually(t, func() bool { return store.RangeReadCount() > reads && store.WaitingWatchCount() > 0 }, "the restored store was not read")
	text, _ := bp.value("fleet")
	require.Equal(t, "4", text, "the set of the copy was posted")
	require.True(t, bp.logged("store_restored"))
	publish(t, store, map[mp.ConfigKey]string{"fleet": "5"})
	testkit.Eventually(t, func() bool { text, _ := bp.value("fleet"); return text == "5" }, "the set written after the restore was not posted")
}

func TestStoreOutageIsLogged(t *testing.T) {
	store, bp := startWatcher(t)
	publish(t, store, map[mp.ConfigKey]string{"fleet": "1"})
	testkit.Eventually(t, func() bool { text, _ := bp.value("fleet"); return text == "1" }, "the set was not posted")
	testkit.Eventually(t, func() bool { return store.WaitingWatchCount() > 0 }, "no watch is in progress")
	store.SetErrorStatus(503)
	publish(t, store, map[mp.ConfigKey]string{"fleet": "2"}) // ends the watch
	testkit.Eventually(t, func() bool { text, _ := bp.value("fleet"); return text == "2" }, "a watch in progress did not return the change")
	testkit.Eventually(t, func() bool { return bp.logged("store_lost") }, "the outage was not logged")
	store.SetErrorStatus(0)
	testkit.Eventually(t, func() bool { return bp.logged("store_regained") }, "the recovery was not logged")
}

// TestHangingStoreTimesOut checks that a read times out if the store accepts calls
// but never responds.
func TestHangingStoreTimesOut(t *testing.T) {
	bp := startWatcherOn(t, http.HandlerFunc(func(_ http.ResponseWriter, rq *http.Request) { <-rq.Context().Done() }))
	testkit.Eventually(t, func() bool { return bp.logged("store_lost") }, "the read did not time out")
}
