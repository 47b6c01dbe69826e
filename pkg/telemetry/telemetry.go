// Package telemetry builds the metrics scope, the tracer and the logger of a process.
package telemetry

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// reportInterval is the time between two flushes of counters to the reporter.
const reportInterval = time.Second

// Exporter is the destination of spans.
type Exporter string

// Exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp"
)

// NewLogger returns a logger that writes to standard error, with the role and VM id of the process on each line.
func NewLogger(role, vm string) *log.Logger {
	l := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339})
	return l.With("role", role, "vm", vm)
}

// NewScope returns a scope that reports to r, and its closer.
func NewScope(role string, r tally.CachedStatsReporter) (tally.Scope, io.Closer) {
	opts := tally.ScopeOptions{
		Prefix:                 "hibiscuscross",
		Separator:              "_",
		Tags:                   map[string]string{"role": role},
		CachedReporter:         r,
		OmitCardinalityMetrics: true,
	}
	return tally.NewRootScope(opts, reportInterval)
}

// NewTracer returns a tracer for the exporter and a function that flushes it and shuts it down. The endpoint is the URL
// of an OTLP receiver and is used with ExporterOTLP only.
func NewTracer(ctx context.Context, e Exporter, endpoint, role string) (trace.Tracer, func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	var exp sdktrace.SpanExporter
	var err error
	switch e {
	case ExporterNone, "":
		return noop.NewTracerProvider().Tracer(role), func(context.Context) error { return nil }, nil
	case ExporterStdout:
		exp, err = stdouttrace.New()
	case ExporterOTLP:
		exp, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	default:
		return nil, nil, fault.Newf(fault.StepSettings, "", "unknown trace exporter %q; allowed: none, stdout, otlp", e)
	}
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.StepSettings, endpoint, "create trace exporter")
	}
	p := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exp))
	return p.Tracer(role), p.Shutdown, nil
}
