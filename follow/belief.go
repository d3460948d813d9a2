package follow

import (
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/routing"
)

// Source names where a piece of knowledge came from.
type Source string

// The sources.
const (
	SourceStore Source = "store"
	SourcePeer  Source = "peer"
)

// belief is the control state. One goroutine alone touches it.
type belief struct {
	logger    zerolog.Logger
	directory *directory.Directory
	table     *routing.Table
	raw       []byte
	// refused is the last configuration that could not be read, so that it is
	// logged once.
	refused string
	// unread counts the entries of servers that could not be read, and holds
	// their identifiers, so that each is logged once.
	unread map[mp.ServerID]bool
}

func newBelief(logger zerolog.Logger) *belief {
	return &belief{logger: logger, directory: directory.New(), unread: map[mp.ServerID]bool{}}
}

// adopt takes a configuration if it is newer than the one in force. One that
// can't be read changes nothing.
func (be *belief) adopt(data []byte, source Source) bool {
	co, err := platform.DecodeConfiguration(data)
	if err != nil {
		if text := err.Error(); text != be.refused {
			be.refused = text
			be.logger.Error().Str("event", "configuration_refused").Str("source", string(source)).Err(err).
				Int64("version_in_force", int64(be.version())).Msg("configuration can't be read; the one in force stays")
		}
		return false
	}
	if co.Version <= be.version() {
		return false
	}
	before := be.version()
	be.table, be.raw = routing.New(co), data
	be.logger.Info().Str("event", "configuration_adopted").Str("source", string(source)).
		Int64("version", int64(co.Version)).Int64("version_before", int64(before)).
		Int("routes", len(co.Routes)).Int("organisations", len(co.Organisations)).Msg("configuration in force")
	return true
}

func (be *belief) version() mp.Version {
	if be.table == nil {
		return 0
	}
	return be.table.Version
}

// replaceServers takes a whole list from the store.
func (be *belief) replaceServers(now time.Time, page platform.Page) bool {
	before := be.directory.Servers()
	if !be.directory.Replace(now, page.Revision, be.decode(page.Items)) {
		return false
	}
	be.logChanges(before, page.Revision, SourceStore)
	return true
}

// applyServers takes changes behind the known list from the store.
func (be *belief) applyServers(now time.Time, page platform.Page) bool {
	before := be.directory.Servers()
	if !be.directory.Apply(now, page.Revision, be.decode(page.Items)) {
		return false
	}
	be.logChanges(before, page.Revision, SourceStore)
	return true
}

// takeServers takes a peer's list that was current at a time.
func (be *belief) takeServers(at time.Time, revision mp.Revision, servers []directory.Server) bool {
	if !at.After(be.directory.ConfirmedAt()) {
		return false
	}
	before := be.directory.Servers()
	if !be.directory.Replace(at, revision, servers) {
		return false
	}
	be.logChanges(before, revision, SourcePeer)
	return true
}

func (be *belief) decode(items []platform.Item) []directory.Server {
	servers := make([]directory.Server, 0, len(items))
	for _, it := range items {
		se, err := platform.DecodeServer(it)
		if err != nil {
			be.noteUnread(se.ID, err)
			se.State = directory.Removed
		}
		servers = append(servers, se)
	}
	return servers
}

func (be *belief) noteUnread(id mp.ServerID, err error) {
	if be.unread[id] {
		return
	}
	be.unread[id] = true
	be.logger.Error().Str("event", "server_entry_refused").Str("server", string(id)).Err(err).Msg("entry names no backend server to use")
}

// logChanges writes a line for each backend server whose entry changed.
func (be *belief) logChanges(before []directory.Server, revision mp.Revision, source Source) {
	known := make(map[mp.ServerID]directory.Server, len(before))
	for _, se := range before {
		known[se.ID] = se
	}
	for _, se := range be.directory.Servers() {
		if old, ok := known[se.ID]; !ok || old != se {
			be.logServer(se, "server_listed", revision, source)
		}
		delete(known, se.ID)
	}
	for _, se := range known {
		be.logServer(se, "server_removed", revision, source)
	}
}

func (be *belief) logServer(se directory.Server, event string, revision mp.Revision, source Source) {
	be.logger.Info().Str("event", event).Str("server", string(se.ID)).Str("service", string(se.Service)).
		Str("address", se.Address).Str("data_centre", string(se.DataCentre)).Bool("leaving", se.State == directory.Draining).
		Uint64("revision", uint64(revision)).Str("source", string(source)).Msg("list of backend servers changed")
}

// snapshot returns the belief as requests read it.
func (be *belief) snapshot() *Snapshot {
	return &Snapshot{
		Table:            be.table,
		RawConfiguration: be.raw,
		Servers:          be.directory.Servers(),
		ListRevision:     be.directory.Revision(),
		ListConfirmedAt:  be.directory.ConfirmedAt(),
	}
}

// configurationIn returns the newest configuration among items of the store.
func configurationIn(items []platform.Item) ([]byte, error) {
	var newest []byte
	for _, it := range items {
		if it.Key != platform.ConfigurationKey {
			continue
		}
		if it.Deleted {
			return nil, errors.NotFoundf("key %q, which was deleted,", it.Key)
		}
		newest = it.Value
	}
	return newest, nil
}
