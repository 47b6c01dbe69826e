// Package api implements the HTTP interface that a router offers to callers.
package api

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/membudget"
	"github.com/hibiscuscross/hibiscuscross/pkg/router"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Header names of the interface.
const (
	HeaderOutcome        = "Hibiscuscross-Outcome"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAttempt        = "Hibiscuscross-Attempt"
	HeaderDeadline       = "Hibiscuscross-Deadline-Ms"
	HeaderPriority       = "Hibiscuscross-Priority"
)

// EventOutcome is the name of the trailing event of a model's stream.
const EventOutcome = "hibiscuscross"

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 8 << 20

// Forwarder sends requests to upstreams. *router.Router implements it.
type Forwarder interface {
	Serve(ctx context.Context, req *router.Request, sink router.Sink) (router.Result, error)
}

// Server serves callers. It refuses every request until it has a configuration.
type Server struct {
	forwarder Forwarder
	tracer    trace.Tracer
	catalog   atomic.Pointer[Catalog]
	draining  atomic.Bool
	memory    *membudget.Account
	echo      *echo.Echo
}

// New returns a server without a configuration. With a nil tracer it records no spans.
func New(f Forwarder, tracer trace.Tracer) *Server {
	if tracer == nil {
		tracer = noop.NewTracerProvider().Tracer("")
	}
	s := &Server{forwarder: f, tracer: tracer, echo: echo.New(), memory: membudget.NewAccount(membudget.ForMemory(defaultMemory))}
	s.echo.HideBanner = true
	s.echo.HTTPErrorHandler = s.onError
	s.echo.Use(s.identify)
	s.echo.POST("/v1/chat/completions", s.complete)
	s.echo.POST("/v1/completions", s.complete)
	s.echo.GET("/v1/models", s.models)
	s.echo.Any("/services/:service", s.plain)
	s.echo.Any("/services/:service/*", s.plain)
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Configure makes a configuration active. It ignores a version older than the active one.
func (s *Server) Configure(doc *config.Document) {
	next := NewCatalog(doc)
	for {
		old := s.catalog.Load()
		if old != nil && old.version > next.version {
			return
		}
		if s.catalog.CompareAndSwap(old, next) {
			return
		}
	}
}

// Configured reports whether a configuration is active.
func (s *Server) Configured() bool { return s.catalog.Load() != nil }

// Drain adds "Connection: close" to further answers, so that few connections are idle when the listener closes.
func (s *Server) Drain() { s.draining.Store(true) }

const keyRequestID = "request-id"

// identify assigns an id to each request and starts a span that continues the caller's trace.
func (s *Server) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		id := newID()
		c.Set(keyRequestID, id)
		h := c.Response().Header()
		h.Set(HeaderRequestID, id)
		if s.draining.Load() {
			h.Set("Connection", "close")
		}
		ctx := propagation.TraceContext{}.Extract(c.Request().Context(), propagation.HeaderCarrier(c.Request().Header))
		ctx, span := s.tracer.Start(ctx, "caller", trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		defer s.releaseMemory(c)
		if span.IsRecording() {
			span.SetAttributes(attribute.String("request", id), attribute.String("path", c.Path()))
		}
		c.SetRequest(c.Request().WithContext(ctx))
		return next(c)
	}
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// caller authenticates the request and returns its caller.
func (s *Server) caller(c echo.Context) (*caller, error) {
	catalog := s.catalog.Load()
	if catalog == nil {
		return nil, refuse(http.StatusServiceUnavailable, wire.CodeNoConfig, "", "the router has no configuration yet")
	}
	key, ok := bearer(c.Request().Header.Get(echo.HeaderAuthorization))
	if !ok {
		return nil, refuse(http.StatusUnauthorized, codeUnauthorized, echo.HeaderAuthorization, "the header must be Bearer and a key")
	}
	from, ok := catalog.authenticate(key)
	if !ok {
		return nil, refuse(http.StatusUnauthorized, codeUnauthorized, echo.HeaderAuthorization, "the key is not known")
	}
	return from, nil
}

func (s *Server) models(c echo.Context) error {
	from, err := s.caller(c)
	if err != nil {
		return err
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	data := make([]model, 0, len(from.models))
	for _, name := range from.models {
		data = append(data, model{ID: name, Object: "model", OwnedBy: from.targets[name].service.name})
	}
	c.Response().Header().Set(HeaderOutcome, wire.OutcomeDone.String())
	return c.JSON(http.StatusOK, map[string]any{"object": "list", "data": data})
}
