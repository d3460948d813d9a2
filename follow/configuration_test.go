package follow_test

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/follow"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/platform/fakestore"
	"github.com/mangopaddle/mangopaddle/testkit"
)

// slowStore serves the pages of a store in chunks with pauses in between.
type slowStore struct {
	http.Handler
	chunkBytes int
	pause      time.Duration
}

// ServeHTTP implements http.Handler.
func (ss slowStore) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	recorder := httptest.NewRecorder()
	ss.Handler.ServeHTTP(recorder, rq)
	rw.WriteHeader(recorder.Code)
	for chunk := recorder.Body.Next(ss.chunkBytes); len(chunk) > 0; chunk = recorder.Body.Next(ss.chunkBytes) {
		if _, err := rw.Write(chunk); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(ss.pause)
	}
}

// TestLargeConfigurationIsReadOverSlowLink guards against a time limit on reading the
// configuration that doesn't depend on its size.
func TestLargeConfigurationIsReadOverSlowLink(t *testing.T) {
	store := fakestore.New()
	store.PutConfiguration(1, func(content map[string]any) {
		content["organisations_of_another_system"] = strings.Repeat("x", 600_000)
	})
	server := httptest.NewServer(slowStore{Handler: store, chunkBytes: 32 << 10, pause: 80 * time.Millisecond})
	t.Cleanup(server.Close)
	client, closeClient := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), platform.WithStallTimeout(follow.StallTimeout))
	t.Cleanup(closeClient)
	view := follow.NewView()
	_, stop := follow.New(client, view)
	t.Cleanup(stop)
	requireEventually(t, func() bool { return view.Load().Version() == 1 })
}

// TestHostWithoutNewestConfigurationAsksPeers guards against a host that passes for
// current, because it can read the list of servers, while it can't read a configuration
// that has changed.
func TestHostWithoutNewestConfigurationAsksPeers(t *testing.T) {
	store, view, clock := newStubStore(), follow.NewView(), clockwork.NewFakeClock()
	store.put("servers/a", entry)
	store.put("op/config", configuration)
	fo, stop := follow.New(store, view, follow.WithListInterval(time.Second), follow.WithClock(clock), follow.WithReaderOrder(func() int { return 1 }))
	t.Cleanup(stop)
	<-view.Ready()
	store.put("op/config", `{"version":5}`)
	store.failPrefix("op/", errors.New("too slow"))
	const sleepers = 3 // the update, list and watch goroutines
	for range 40 {     // ten seconds
		require.NoError(t, clock.BlockUntilContext(t.Context(), sleepers))
		clock.Advance(250 * time.Millisecond)
	}
	require.Equal(t, mp.Version(4), view.Load().Version())
	require.True(t, fo.NeedsPeers())
	snapshot := view.Load()
	require.Less(t, clock.Since(snapshot.ListConfirmedAt), 4*time.Second)
	require.Greater(t, clock.Since(snapshot.ConfirmedAt()), 8*time.Second, "other hosts must not take it for current")
	fo.Confirm(follow.Confirmation{Version: 5, ConfigurationAt: clock.Now()})
	require.Equal(t, snapshot.ConfirmedAt(), view.Load().ConfirmedAt(), "another host has another version")
}

// compressed returns a text in the gzip format.
func compressed(t *testing.T, text string) []byte {
	t.Helper()
	buffer := &bytes.Buffer{}
	writer := gzip.NewWriter(buffer)
	_, err := writer.Write([]byte(text))
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	return buffer.Bytes()
}

// TestConfigurationsFromPeers checks that a newer configuration of another host is
// applied and passed on as it came, and that one which is cut, no configuration, or too
// large once it is decompressed, is refused.
func TestConfigurationsFromPeers(t *testing.T) {
	store, view, log := newStubStore(), follow.NewView(), &testkit.LogBuffer{}
	store.put("servers/a", entry)
	store.put("op/config", configuration)
	fo, stop := follow.New(store, view, follow.WithLogger(zerolog.New(log)))
	t.Cleanup(stop)
	<-view.Ready()
	newer := compressed(t, `{"version":9}`)
	for ix, refused := range [][]byte{
		nil, []byte("x"), newer[:len(newer)-5], compressed(t, "{"), compressed(t, `{"version":9,"x":"`+strings.Repeat("x", 5<<20)+`"}`),
	} {
		fo.MergeConfiguration(refused)
		require.Equal(t, mp.Version(4), view.Load().Version(), "case %d", ix)
	}
	require.Positive(t, log.Count("configuration_refused"))
	fo.MergeConfiguration(newer)
	require.Equal(t, mp.Version(9), view.Load().Version())
	require.Equal(t, newer, view.Load().CompressedConfiguration)
}

// TestRetainedServerIsNotSentToPeers guards against a server that has left and that other
// hosts keep, because one that retains it after an outage of the store lists it.
func TestRetainedServerIsNotSentToPeers(t *testing.T) {
	store, view, clock := newStubStore(), follow.NewView(), clockwork.NewFakeClock()
	store.put("servers/a", entry)
	store.put("op/config", configuration)
	_, stop := follow.New(store, view, follow.WithListInterval(time.Second), follow.WithClock(clock), follow.WithReaderOrder(func() int { return 1 }))
	t.Cleanup(stop)
	<-view.Ready()
	store.fail(errors.New("connection refused"))
	advance := func(duration time.Duration) {
		const sleepers = 3 // the update, list and watch goroutines
		for range duration / (100 * time.Millisecond) {
			require.NoError(t, clock.BlockUntilContext(t.Context(), sleepers))
			clock.Advance(100 * time.Millisecond)
		}
		require.NoError(t, clock.BlockUntilContext(t.Context(), sleepers))
	}
	advance(6 * time.Second)
	store.clear()
	store.put("op/config", `{"version":5}`)
	store.fail(nil)
	advance(2 * time.Second)
	require.Equal(t, mp.Version(5), view.Load().Version())
	require.Len(t, view.Load().Servers, 1, "it may register again")
	packed, err := view.Load().PackedServers()
	require.NoError(t, err)
	listed, err := directory.Unpack(packed)
	require.NoError(t, err)
	require.Empty(t, listed)
}
