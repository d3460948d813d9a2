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

// control applies messages to a board, as the control goroutine does.
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

// value returns an offered value; empty if there is none.
func (co *control) value(key mp.ConfigKey) (text string, revision mp.Revision) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.board.PendingConfig == nil {
		return "", 0
	}
	value := co.board.PendingConfig.Values[key]
	return string(value.Value), value.Revision
}

func (co *control) leaving() int {
	co.mu.Lock()
	defer co.mu.Unlock()
	return len(co.board.Machines.Servers)
}

func (co *control) logged(event string) bool { return co.logs.Count(event) > 0 }

func watch(t *testing.T) (*fakestore.Store, *control) {
	t.Helper()
	store := fakestore.New()
	return store, watchHandler(t, store)
}

// watchHandler starts a watcher of a store.
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

func TestValuesKeepTheRevisionThatChangedThem(t *testing.T) {
	store, co := watch(t)
	publish(t, store, map[mp.ConfigKey]string{"fleet": "1", "contracts/a": "1"})
	testkit.Eventually(t, func() bool { text, _ := co.value("fleet"); return text == "1" }, "the set was not offered")
	_, first := co.value("fleet")
	publish(t, store, map[mp.ConfigKey]string{"fleet": "1", "contracts/a": "2"})
	testkit.Eventually(t, func() bool { text, _ := co.value("contracts/a"); return text == "2" }, "the change was not offered")
	_, fleet := co.value("fleet")
	_, contract := co.value("contracts/a")
	require.Equal(t, first, fleet)
	require.Greater(t, contract, first)
}

func TestSetThatCannotBeReadIsLoggedAndSkipped(t *testing.T) {
	store, co := watch(t)
	publish(t, store, map[mp.ConfigKey]string{"fleet": "1"})
	store.Put(string(platform.ConfigSetKey), []byte("{"))
	testkit.Eventually(t, func() bool { return co.logged("configuration_refused") }, "nothing was logged")
	publish(t, store, map[mp.ConfigKey]string{"fleet": "3"})
	testkit.Eventually(t, func() bool { text, _ := co.value("fleet"); return text == "3" }, "the next set was not offered")
}

// TestHistoryThatIsGoneIsReadAgain drops the history behind the watch, and shows a
// list of machines that is older than the known one.
func TestHistoryThatIsGoneIsReadAgain(t *testing.T) {
	store, co := watch(t)
	store.Put(string(platform.MachinesKey), []byte(`{"servers":[]}`))
	old := store.Snapshot()
	store.Put(string(platform.MachinesKey), []byte(`{"servers":[{"name":"e","state":"leaving"}]}`))
	testkit.Eventually(t, func() bool { return co.leaving() == 1 }, "the list was not read")
	reads := store.RangeReads()
	store.ServeSnapshot(old)
	testkit.Eventually(t, func() bool { return store.RangeReads() > reads+1 }, "the store was not read again")
	require.Equal(t, 1, co.leaving(), "an older list is not taken")
	store.ServeSnapshot(nil)
	store.Put(string(platform.MachinesKey), []byte(`{"servers":[{"name":"e","state":"leaving"},{"name":"f","state":"leaving"}]}`))
	testkit.Eventually(t, func() bool { return co.leaving() == 2 }, "the newer list was not read")
}

func TestLostStoreIsLoggedOnce(t *testing.T) {
	store, co := watch(t)
	publish(t, store, map[mp.ConfigKey]string{"fleet": "1"})
	testkit.Eventually(t, func() bool { text, _ := co.value("fleet"); return text == "1" }, "the set was not offered")
	store.SetErrorStatus(503)
	publish(t, store, map[mp.ConfigKey]string{"fleet": "2"}) // ends the watch
	testkit.Eventually(t, func() bool { text, _ := co.value("fleet"); return text == "2" }, "a watch that waits is answered")
	testkit.Eventually(t, func() bool { return co.logged("store_lost") }, "the loss was not logged")
	store.SetErrorStatus(0)
	testkit.Eventually(t, func() bool { return co.logged("store_regained") }, "the return was not logged")
}

// TestSilentStoreIsGivenUp starts beside a store that takes calls and never answers.
func TestSilentStoreIsGivenUp(t *testing.T) {
	co := watchHandler(t, http.HandlerFunc(func(_ http.ResponseWriter, rq *http.Request) { <-rq.Context().Done() }))
	testkit.Eventually(t, func() bool { return co.logged("store_lost") }, "the read was not given up")
}
