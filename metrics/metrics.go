// Package metrics sets up the metrics of the process and exposes them in the
// Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

const (
	prefix = "mangopaddle"
	// reportInterval is how often the scope reports its metrics to the registry.
	reportInterval = time.Second
)

// New returns the root scope, an HTTP handler that exposes its metrics and those of
// the Go runtime, and a function that closes the scope. It fails if the metrics of the
// Go runtime cannot be registered.
func New() (tally.Scope, http.Handler, func(), error) {
	registry := prometheus.NewRegistry()
	if err := registry.Register(collectors.NewGoCollector()); err != nil {
		return nil, nil, nil, errors.Trace(err)
	}
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	options := tally.ScopeOptions{
		Prefix:          prefix,
		CachedReporter:  reporter,
		Separator:       tallyprometheus.DefaultSeparator,
		SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts,
		// The library's metrics about itself would change the set of metric names.
		OmitCardinalityMetrics: true,
	}
	scope, closer := tally.NewRootScope(options, reportInterval)
	return scope, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), ignoreCloseError(closer), nil
}

func ignoreCloseError(closer io.Closer) func() {
	return func() { _ = closer.Close() }
}
