// Package metrics builds the root tally scope of a process and the handler
// that exposes it in the Prometheus text format.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const reportInterval = time.Second

type (
	// Metrics holds the root scope of a process and the handler that exposes it.
	Metrics struct {
		Scope   tally.Scope
		Handler fasthttp.RequestHandler
		close   func() error
	}
)

// New returns metrics whose names start with the prefix. Label values must come
// from bounded sets, such as configured names, because the process keeps each
// combination in memory until it ends.
func New(prefix string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: newGatherer(registry)})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		SanitizeOptions:        &tallyprometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		Scope:   scope,
		Handler: fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler()),
		close:   closer.Close,
	}
}

// Close reports the final values and stops the reporter.
func (metrics *Metrics) Close() error {
	return metrics.close()
}
