package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// NewReporter returns a reporter for NewScope and a handler that serves its metrics, and those of the Go runtime and
// the process, in Prometheus text format. It calls onError if a metric cannot be registered.
func NewReporter(onError func(error)) (tally.CachedStatsReporter, http.Handler) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry, OnRegisterError: onError})
	return r, r.HTTPHandler()
}
