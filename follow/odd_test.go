package follow_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/follow"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/testkit"
)

// remove appends the deletion of a key.
func (st *stubStore) remove(key mp.ConfigKey) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	st.items = append(st.items, platform.Item{Key: key, Revision: st.revision, Deleted: true})
}

// TestConfigurationWrittenAgainAfterDeletionIsApplied guards against a configuration that is
// refused because the page with it also has a deletion of the key before it.
func TestConfigurationWrittenAgainAfterDeletionIsApplied(t *testing.T) {
	store, view, log := newStubStore(), follow.NewView(), &testkit.LogBuffer{}
	store.put("op/config", configuration)
	_, stop := follow.New(store, view, follow.WithListInterval(time.Millisecond), follow.WithLogger(zerolog.New(log)))
	defer stop()
	<-view.Ready()
	store.remove("op/config")
	requireEventually(t, func() bool { return log.Count("configuration_refused") > 0 })
	require.Equal(t, mp.Version(4), view.Load().Version(), "a deleted configuration stays in force")
	store.put("op/config", `{"version":5}`)
	requireEventually(t, func() bool { return view.Load().Version() == 5 })
}

// TestEntryThatIsOddAgainIsLogged guards against an entry that is refused without a log line,
// because it was refused once before it was sound.
func TestEntryThatIsOddAgainIsLogged(t *testing.T) {
	store, view, log := newStubStore(), follow.NewView(), &testkit.LogBuffer{}
	store.put("op/config", configuration)
	_, stop := follow.New(store, view, follow.WithListInterval(time.Millisecond), follow.WithLogger(zerolog.New(log)))
	defer stop()
	for count := range 3 {
		store.clear()
		store.put("servers/a", `{"service":7}`)
		requireEventually(t, func() bool { return log.Count("server_entry_refused") == count+1 })
		store.clear()
		store.put("servers/a", entry)
		requireEventually(t, func() bool { return len(view.Load().Servers) == 1 })
	}
}
