package follow

import (
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/compression"
	"github.com/mangopaddle/mangopaddle/directory"
	"github.com/mangopaddle/mangopaddle/evacuation"
	"github.com/mangopaddle/mangopaddle/platform"
	"github.com/mangopaddle/mangopaddle/routing"
)

// Source names where a host received a configuration or a server list from.
type Source string

// The sources: a read of the platform's store, another host, or the end of the time in
// which a server could have registered again.
const (
	SourceStore  Source = "store"
	SourcePeer   Source = "peer"
	SourceExpiry Source = "expiry"
)

// maxConfigurationBytes is the largest decompressed configuration that is accepted from
// another host: a few times what the store takes.
const maxConfigurationBytes = 4 * mp.Mebibyte

// state is the host's replica of the configuration and the server list. Only
// the update goroutine accesses it.
type state struct {
	logger      zerolog.Logger
	directory   *directory.Directory
	evacuations *evacuation.Set
	table       *routing.Table
	// compressed is the encoded configuration of the table, for other hosts.
	compressed []byte
	// configurationConfirmedAt is the last time at which the configuration is known to
	// have matched the store.
	configurationConfirmedAt time.Time
	// listReadAt is when this host last asked the store for the whole list.
	listReadAt time.Time
	// maxListGap is the longest time without a confirmation of the list in which no server can
	// come and go. listConfirmedAt is the last confirmation that was compared with it, and
	// listGapEndedAt is when a longer gap last ended.
	maxListGap      time.Duration
	listConfirmedAt time.Time
	listEra         mp.Era // at that confirmation
	listGapEndedAt  time.Time
	// packed are the listed servers, for other hosts.
	packed *packedServers
	// lastRefusal is the error of the last configuration that could not be
	// decoded, so that a repeated read does not log it again.
	lastRefusal string
	// invalid holds the servers whose entries could not be decoded, so that each
	// is logged only once.
	invalid map[mp.ServerID]bool
}

func newState(logger zerolog.Logger, maxListGap time.Duration) *state {
	return &state{logger: logger, maxListGap: maxListGap, directory: directory.New(), evacuations: evacuation.New(), invalid: map[mp.ServerID]bool{}}
}

// applyStoredConfiguration applies a configuration that was read from the store and
// reports whether it is newer than the current one.
func (st *state) applyStoredConfiguration(data []byte) bool {
	compressed, err := compression.Compress(data)
	if err != nil {
		st.refuseConfiguration(SourceStore, err)
		return false
	}
	return st.applyConfiguration(data, compressed, SourceStore)
}

// applyPeerConfiguration applies the compressed configuration of a peer and reports
// whether it is newer than the current one.
func (st *state) applyPeerConfiguration(compressed []byte) bool {
	data, err := compression.Decompress(compressed, maxConfigurationBytes)
	if err != nil {
		st.refuseConfiguration(SourcePeer, err)
		return false
	}
	return st.applyConfiguration(data, compressed, SourcePeer)
}

// applyConfiguration replaces the configuration if the encoded one has a higher
// version, and reports whether it did. An invalid configuration is logged and
// ignored.
func (st *state) applyConfiguration(data, compressed []byte, source Source) bool {
	co, err := platform.DecodeConfiguration(data)
	if err != nil {
		st.refuseConfiguration(source, err)
		return false
	}
	if co.Version <= st.version() {
		return false
	}
	before := st.version()
	st.table, st.compressed = routing.New(co), compressed
	st.logger.Info().Str("event", "configuration_adopted").Str("source", string(source)).
		Int64("version", int64(co.Version)).Int64("version_before", int64(before)).
		Int("routes", len(co.Routes)).Int("organisations", len(co.Organisations)).
		Int("api_keys", co.APIKeyCount()).Bool("anonymous", co.AllowsAnonymous).Int("compressed_bytes", len(compressed)).Msg("configuration applied")
	return true
}

// refuseConfiguration logs why a configuration is not applied, once for each reason in a
// row.
func (st *state) refuseConfiguration(source Source, err error) {
	if text := err.Error(); text != st.lastRefusal {
		st.lastRefusal = text
		st.logger.Error().Str("event", "configuration_refused").Str("source", string(source)).Err(err).
			Int64("version_in_force", int64(st.version())).Msg("cannot decode configuration; keeping the current one")
	}
}

// confirmConfiguration records that the configuration matched the store at a time.
func (st *state) confirmConfiguration(at time.Time) {
	if at.After(st.configurationConfirmedAt) {
		st.configurationConfirmedAt = at
	}
}

// confirmConfigurationAsOf records the same for what was read at a position of the store,
// unless this host knows a later one.
func (st *state) confirmConfigurationAsOf(at time.Time, position mp.Position) {
	if !position.Before(st.directory.Position()) {
		st.confirmConfiguration(at)
	}
}

// Confirmation is another host's report of what the store contained: the position of
// the server list and the version of the configuration, each with the last time at which
// it is known to have been current.
type Confirmation struct {
	ListPosition    mp.Position
	ListAt          time.Time
	Version         mp.Version
	ConfigurationAt time.Time
}

// confirm records a confirmation of what this host has too.
func (st *state) confirm(co Confirmation) {
	if !co.ListPosition.IsZero() && st.directory.Confirm(co.ListAt, co.ListPosition) {
		st.logger.Debug().Str("event", "list_confirmed").Uint64("era", uint64(co.ListPosition.Era)).
			Uint64("revision", uint64(co.ListPosition.Revision)).Str("source", string(SourcePeer)).Msg("list of backend servers confirmed")
	}
	if co.Version > 0 && co.Version == st.version() {
		st.confirmConfiguration(co.ConfigurationAt)
	}
}

// version returns the version of the current configuration, zero for none.
func (st *state) version() mp.Version {
	if st.table == nil {
		return 0
	}
	return st.table.Version
}

// replaceServers applies a full list that was read from the store and reports
// whether the servers changed.
func (st *state) replaceServers(now time.Time, page platform.Page) bool {
	servers := st.decodeServers(page.Items)
	changed := st.replace(now, page.Position, servers, SourceStore)
	// A watch may be ahead of the first page of a long list.
	if page.Position.Era == st.directory.Position().Era && st.directory.Knows(servers) {
		st.listReadAt = now
	}
	return changed
}

// applyServerChanges applies incremental changes from a watch of the store and
// reports whether the servers changed.
func (st *state) applyServerChanges(now time.Time, page platform.Page) bool {
	before := st.directory.Servers()
	st.logPosition(now, page.Position, SourceStore)
	if !st.directory.Apply(now, page.Position, st.decodeServers(page.Items)) {
		return false
	}
	st.logChanges(before, page.Position, SourceStore)
	return true
}

// mergeServers applies a peer's full list that was current at a time, unless
// this host's list is of the same era and was confirmed at that time or later. It reports
// whether the servers changed.
func (st *state) mergeServers(at time.Time, position mp.Position, servers []directory.Server) bool {
	if position.Era == st.directory.Position().Era && !at.After(st.directory.ConfirmedAt()) {
		return false
	}
	return st.replace(at, position, servers, SourcePeer)
}

// replace applies a full list and reports whether the servers changed.
func (st *state) replace(at time.Time, position mp.Position, servers []directory.Server, source Source) bool {
	before, known := st.directory.Servers(), st.directory.Position()
	st.logPosition(at, position, source)
	changed := st.directory.Replace(at, position, servers)
	if known.Era < position.Era {
		st.logDistrusted(position, source)
	}
	if changed {
		st.logChanges(before, position, source)
	}
	return changed
}

// expireServers removes retained servers that did not register again in time and reports
// whether there were any.
func (st *state) expireServers(now time.Time) bool {
	before := st.directory.Servers()
	if !st.directory.Expire(now) {
		return false
	}
	st.logChanges(before, st.directory.Position(), SourceExpiry)
	return true
}

// decodeServers decodes entries of the store. An invalid entry is logged and
// treated as removed.
func (st *state) decodeServers(items []platform.Item) []directory.Server {
	servers := make([]directory.Server, 0, len(items))
	for _, it := range items {
		se, err := platform.DecodeServer(it)
		if err != nil {
			st.logInvalidEntry(se.ID, err)
			se.State = directory.Removed
		} else {
			delete(st.invalid, se.ID)
		}
		servers = append(servers, se)
	}
	return servers
}

func (st *state) logInvalidEntry(id mp.ServerID, err error) {
	if st.invalid[id] {
		return
	}
	st.invalid[id] = true
	st.logger.Error().Str("event", "server_entry_refused").Str("server", string(id)).Err(err).Msg("cannot decode backend server entry; treating the server as removed")
}

// logPosition logs that the store has come back from a copy, or that a list or a change is
// older than this host's list.
func (st *state) logPosition(now time.Time, position mp.Position, source Source) {
	known := st.directory.Position()
	event, message := "", ""
	switch {
	case position.Before(known):
		event, message = "list_ignored", "older list of backend servers ignored"
	case position.Era != known.Era && !known.IsZero():
		event, message = "store_restored", "store has come back from a copy"
	default:
		return
	}
	st.logger.Warn().Str("event", event).Uint64("era", uint64(position.Era)).Uint64("revision", uint64(position.Revision)).
		Uint64("era_before", uint64(known.Era)).Uint64("revision_before", uint64(known.Revision)).
		Str("source", string(source)).Dur("list_age_ms", now.Sub(st.directory.ConfirmedAt())).
		Int64("version_in_force", int64(st.version())).Int("servers", len(st.directory.Servers())).Msg(message)
}

// logDistrusted logs each server whose entry in a copy of the store is older than what is
// known of it.
func (st *state) logDistrusted(position mp.Position, source Source) {
	for _, se := range st.directory.Distrusted() {
		st.logger.Warn().Str("event", "server_entry_distrusted").Str("server", string(se.ID)).Int64("sequence", se.Sequence).
			Bool("leaving", se.State == directory.Draining).Uint64("era", uint64(position.Era)).Uint64("revision", uint64(position.Revision)).
			Str("source", string(source)).Msg("entry of the copy is older than the server's last word; keeping that")
	}
}

// logChanges logs each backend server that was added, changed or removed.
func (st *state) logChanges(before []directory.Server, position mp.Position, source Source) {
	known := make(map[mp.ServerID]directory.Server, len(before))
	for _, se := range before {
		known[se.ID] = se
	}
	for _, se := range st.directory.Servers() {
		if old, ok := known[se.ID]; !ok || !old.Equal(se) {
			st.logServer(se, "server_listed", position, source)
		}
		delete(known, se.ID)
	}
	for _, se := range known {
		st.logServer(se, "server_removed", position, source)
	}
}

func (st *state) logServer(se directory.Server, event string, position mp.Position, source Source) {
	st.logger.Info().Str("event", event).Str("server", string(se.ID)).Str("service", string(se.Service)).
		Str("address", se.Address).Str("data_centre", string(se.DataCentre)).Str("software", string(se.Software)).Bool("leaving", se.State == directory.Draining).
		Uint64("era", uint64(position.Era)).Uint64("revision", uint64(position.Revision)).Str("source", string(source)).Msg("backend server list changed")
}

// recordListGap records until when servers may have come and gone unnoticed: until the end of a gap
// between two confirmations of the list, which either clock may show, because the monotonic one
// stands still while the machine is suspended; and, after the store has come back from a copy,
// until the servers that the copy lacks have registered again.
func (st *state) recordListGap() {
	before, era := st.listConfirmedAt, st.listEra
	st.listConfirmedAt, st.listEra = st.directory.ConfirmedAt(), st.directory.Position().Era
	if before.IsZero() {
		return
	}
	gap := max(st.listConfirmedAt.Sub(before), st.listConfirmedAt.Round(0).Sub(before.Round(0)))
	switch {
	case era != st.listEra:
		st.listGapEndedAt = st.listConfirmedAt.Add(directory.ReregisterTimeout)
	case gap > st.maxListGap && st.listGapEndedAt.Before(st.listConfirmedAt):
		st.listGapEndedAt = st.listConfirmedAt
	}
}

// snapshot returns an immutable copy of the state for request handlers.
func (st *state) snapshot() *Snapshot {
	if listed := st.directory.Listed(); st.packed == nil || !st.packed.contains(listed) {
		st.packed = &packedServers{servers: listed}
	}
	return &Snapshot{
		Table:                    st.table,
		CompressedConfiguration:  st.compressed,
		Servers:                  st.directory.Servers(),
		Evacuated:                st.evacuations.DataCentres(),
		Evacuations:              st.evacuations.Shared(),
		packed:                   st.packed,
		ListPosition:             st.directory.Position(),
		ListConfirmedAt:          st.directory.ConfirmedAt(),
		ListReadAt:               st.listReadAt,
		ListGapEndedAt:           st.listGapEndedAt,
		ConfigurationConfirmedAt: st.configurationConfirmedAt,
	}
}

// latestConfiguration returns the last configuration among the items, nil if
// there is none. It fails with a not-found error if the last item with the key deletes it.
func latestConfiguration(items []platform.Item) ([]byte, error) {
	var latest []byte
	deleted := false
	for _, it := range items {
		if it.Key == platform.ConfigurationKey {
			latest, deleted = it.Value, it.Deleted
		}
	}
	if deleted {
		return nil, errors.NotFoundf("value of deleted key %q", platform.ConfigurationKey)
	}
	return latest, nil
}
