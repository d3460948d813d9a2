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

// control is a Poster that applies messages to a board at once.
type control struct {
	mu    sync.Mutex
	board *blackboard.Board
	logs  testkit.LogBuffer
}

// Post implements configwatch.Poster.
func (co *control) Post(me blackboard.Message) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	me.Apply(co.board)
	return true
}

// value returns a value of the pending set with its revision; empty if there is none.
func (co *control) value(key mp.ConfigKey) (text string, revision mp.Revision) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.board.PendingConfig == nil {
		return "", 0
	}
	value := co.board.PendingConfig.Values[key]
	return string(value.Value), value.Revision
}

// leaving returns the number of servers in the list of machines.
func (co *control) leaving() int {
	co.mu.Lock()
	defer co.mu.Unlock()
	return len(co.board.Machines.Servers)
}

func (co *control) logged(event string) bool { return co.logs.Count(event) > 0 }

func startWatcher(t *testing.T) (*fakestore.Store, *control) {
	t.Helper()
	store := fakestore.New()
	return store, watchHandler(t, store)
}

// watchHandler starts a watcher of a store that the handler serves.
func watchHandler(t *testing.T, store http.Handler) *control {
	t.Helper()
	co := &control{board: blackboard.New("h", "d")}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(configwatch.New(strings.TrimPrefix(server.URL, "http://"), co, configwatch.WithLogger(zerolog.New(&co.logs))))
	return co
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

func TestUnchangedValuesKeepRevision(t *testing.T) {
	store, co := startWatcher(t)
	publish(t, store, map[mp.ConfigKey]string{"fleet": "1", "contracts/a": "1"})
	testkit.Eventually(t, func() bool { text, _ := co.value("fleet"); return text == "1" }, "the set was not posted")
	_, first := co.value("fleet")
	publish(t, store, map[mp.ConfigKey]string{"fleet": "1", "contracts/a": "2"})
	testkit.Eventually(t, func() bool { text, _ := co.value("contracts/a"); return text == "2" }, "the change was not posted")
	_, fleet := co.value("fleet")
	_, contract := co.value("contracts/a")
	require.Equal(t, first, fleet)
	require.Greater(t, contract, first)
}

func TestInvalidSetIsLoggedAndSkipped(t *testing.T) {
	store, co := startWatcher(t)
	publish(t, store, map[mp.ConfigKey]string{"fleet": "1"})
	store.Put(string(platform.ConfigSetKey), []byte("{"))
	testkit.Eventually(t, func() bool { return co.logged("configuration_refused") }, "nothing was logged")
	publish(t, store, map[mp.ConfigKey]string{"fleet": "3"})
	testkit.Eventually(t, func() bool { text, _ := co.value("fleet"); return text == "3" }, "the next set was not posted")
}

// TestOlderSnapshotAfterCompactionIsIgnored guards against a step back to an older
// list of machines: the store drops the history of the watch, and the read that
// follows returns a list that is older than the known one.
func TestOlderSnapshotAfterCompactionIsIgnored(t *testing.T) {
	store, co := startWatcher(t)
	store.Put(string(platform.MachinesKey), []byte(`{"servers":[]}`))
	old := store.Snapshot()
	store.Put(string(platform.MachinesKey), []byte(`{"servers":[{"name":"e","state":"leaving"}]}`))
	testkit.Eventually(t, func() bool { return co.leaving() == 1 }, "the list was not read")
	reads := store.RangeReadCount()
	store.ServeSnapshot(old)
	testkit.Eventually(t, func() bool { return store.RangeReadCount() > reads+1 }, "the store was not read again")
	require.Equal(t, 1, co.leaving(), "the older list was applied")
	store.ServeSnapshot(nil)
	store.Put(string(platform.MachinesKey), []byte(`{"servers":[{"name":"e","state":"leaving"},{"name":"f","state":"leaving"}]}`))
	testkit.Eventually(t, func() bool { return co.leaving() == 2 }, "the newer list was not applied")
}

func TestStoreOutageIsLogged(t *testing.T) {
	store, co := startWatcher(t)
	publish(t, store, map[mp.ConfigKey]string{"fleet": "1"})
	testkit.Eventually(t, func() bool { text, _ := co.value("fleet"); return text == "1" }, "the set was not posted")
	store.SetErrorStatus(503)
	publish(t, store, map[mp.ConfigKey]string{"fleet": "2"}) // ends the watch
	testkit.Eventually(t, func() bool { text, _ := co.value("fleet"); return text == "2" }, "a watch in progress did not return the change")
	testkit.Eventually(t, func() bool { return co.logged("store_lost") }, "the outage was not logged")
	store.SetErrorStatus(0)
	testkit.Eventually(t, func() bool { return co.logged("store_regained") }, "the recovery was not logged")
}

// TestHangingStoreTimesOut checks that a read times out if the store accepts calls
// but never answers.
func TestHangingStoreTimesOut(t *testing.T) {
	co := watchHandler(t, http.HandlerFunc(func(_ http.ResponseWriter, rq *http.Request) { <-rq.Context().Done() }))
	testkit.Eventually(t, func() bool { return co.logged("store_lost") }, "the read did not time out")
}
