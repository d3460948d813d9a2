// Package operator serves the operators' HTTP interface of a host: metrics, health and
// readiness, the state of the blackboard, the outcomes of requests, and profiles.
package operator

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	mp "github.com/mangopaddle/mangopaddle"
	"github.com/mangopaddle/mangopaddle/blackboard"
	"github.com/mangopaddle/mangopaddle/config"
	"github.com/mangopaddle/mangopaddle/control"
	"github.com/mangopaddle/mangopaddle/meter"
	"github.com/mangopaddle/mangopaddle/pool"
	"github.com/mangopaddle/mangopaddle/schedule"
)

// Server serves the operators' HTTP interface.
type Server struct {
	loop    *control.Loop
	view    *blackboard.View
	pool    *pool.Pool
	meter   *meter.Meter
	metrics http.Handler
	version string
}

// New returns a server. metrics handles /metrics, and version is the program version
// that /debug/state shows.
func New(loop *control.Loop, view *blackboard.View, po *pool.Pool, me *meter.Meter, metrics http.Handler, version string) *Server {
	return &Server{loop: loop, view: view, pool: po, meter: me, metrics: metrics, version: version}
}

// Handler returns the HTTP handler for operators.
func (se *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", se.metrics)
	mux.HandleFunc("GET /healthz", se.serveHealth)
	mux.HandleFunc("GET /readyz", se.serveReady)
	mux.HandleFunc("GET /debug/state", se.serveState)
	mux.HandleFunc("GET /debug/outcomes", se.serveOutcomes)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

// serveHealth reports whether the control goroutine responds.
func (se *Server) serveHealth(rw http.ResponseWriter, _ *http.Request) {
	if err := se.loop.Inspect(func(*blackboard.Board) {}); err != nil {
		http.Error(rw, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeText(rw, "ok\n")
}

// serveReady reports whether a load balancer may send new requests to the host: it has
// a configuration and is not stopping. While it is stopping, it still accepts requests
// for the lame-duck period.
func (se *Server) serveReady(rw http.ResponseWriter, _ *http.Request) {
	sn := se.view.Load()
	switch {
	case sn == nil:
		http.Error(rw, "no configuration yet", http.StatusServiceUnavailable)
	case sn.Stopping:
		http.Error(rw, "stopping", http.StatusServiceUnavailable)
	default:
		writeText(rw, "ready\n")
	}
}

// State is the response of /debug/state.
type State struct {
	Version    string          `json:"version"`
	Host       mp.HostID       `json:"host"`
	DataCentre mp.DataCentreID `json:"data_centre"`
	Now        time.Time       `json:"now"`
	Stopping   bool            `json:"stopping"`
	InFlight   int64           `json:"in_flight"`

	ConfigEra        mp.Era                    `json:"config_era"`
	ConfigRevision   mp.Revision               `json:"config_revision"`
	ConfigAppliedAt  time.Time                 `json:"config_at,omitzero"`
	RefusedConfig    *blackboard.RefusedConfig `json:"config_refused,omitempty"`
	StoreRespondedAt time.Time                 `json:"platform_at,omitzero"`

	LiveHosts         int                    `json:"hosts"`
	Machines          mp.MachineList         `json:"machines"`
	DrainingServers   map[string]bool        `json:"leaving_servers"`
	PauseCount        int                    `json:"pauses"`
	LastPauseAt       time.Time              `json:"paused_at,omitzero"`
	Fleet             config.Fleet           `json:"fleet"`
	OrganisationCount int                    `json:"organisations"`
	Engines           []schedule.EngineState `json:"engines"`
	WaitingByTier     [mp.TierCount]int      `json:"waiting_by_tier"`
}

// serveState responds with the current state as JSON.
func (se *Server) serveState(rw http.ResponseWriter, _ *http.Request) {
	state := State{Version: se.version, InFlight: se.meter.InFlight()}
	state.Engines, state.WaitingByTier = se.pool.State()
	if err := se.loop.Inspect(state.read); err != nil {
		http.Error(rw, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(rw, state)
}

// read copies fields of the blackboard. Its maps and lists are replaced and never
// modified, so the copy remains valid after the read.
func (st *State) read(bo *blackboard.Board) {
	st.Host, st.DataCentre, st.Now, st.Stopping = bo.Host, bo.DataCentre, bo.Now, bo.Stopping
	st.ConfigAppliedAt, st.RefusedConfig, st.StoreRespondedAt = bo.ConfigAppliedAt, bo.RefusedConfig, bo.StoreRespondedAt
	st.LiveHosts, st.Machines, st.DrainingServers = bo.LiveHosts, bo.Machines, bo.DrainingServers
	st.PauseCount, st.LastPauseAt = bo.PauseCount, bo.LastPauseAt
	if bo.Config != nil {
		st.ConfigEra, st.ConfigRevision = bo.Config.Position.Era, bo.Config.Position.Revision
		st.Fleet = bo.Config.Fleet
		st.OrganisationCount = len(bo.Config.Contracts)
	}
}

// Outcomes is the response of /debug/outcomes.
type Outcomes struct {
	Host    mp.HostID           `json:"host"`
	Now     time.Time           `json:"now"`
	Classes []meter.ClassReport `json:"classes"`
	Tiers   []meter.TierReport  `json:"tiers"`
}

// serveOutcomes responds with the outcomes of requests by class and tier, as JSON.
func (se *Server) serveOutcomes(rw http.ResponseWriter, _ *http.Request) {
	out := Outcomes{Classes: se.meter.Report(), Tiers: se.meter.Tiers()}
	err := se.loop.Inspect(func(bo *blackboard.Board) { out.Host, out.Now = bo.Host, bo.Now })
	if err != nil {
		http.Error(rw, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(rw, out)
}

func writeText(rw http.ResponseWriter, text string) {
	rw.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = rw.Write([]byte(text))
}

func writeJSON(rw http.ResponseWriter, value any) {
	rw.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(rw)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
