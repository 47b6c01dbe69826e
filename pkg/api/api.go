// Package api implements the callers' HTTP interface of a router.
package api

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/router"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Header names of the interface.
const (
	HeaderOutcome   = "Hibiscuscross-Outcome"
	HeaderRequestID = "X-Request-Id"
)

// MaxBodyBytes bounds a request's body.
const MaxBodyBytes = 8 << 20

// defaultTimeout is the time to the deadline of a request that names none.
const defaultTimeout = 30 * time.Second

// New returns the handler of the callers' interface.
func New(f *router.Forwarder) http.Handler {
	e := echo.New()
	e.HideBanner = true
	h := &handler{forwarder: f}
	e.POST("/v1/chat/completions", h.complete)
	e.POST("/v1/completions", h.complete)
	return e
}

type handler struct{ forwarder *router.Forwarder }

// completion holds the fields of a body that the router needs.
type completion struct {
	Model string `json:"model"`
}

func (h *handler) complete(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, MaxBodyBytes))
	if err != nil {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, "body is larger than 8 MiB")
	}
	var in completion
	if err := json.Unmarshal(body, &in); err != nil || in.Model == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "field model is missing or malformed")
	}
	id := uuid.NewString()
	c.Response().Header().Set(HeaderRequestID, id)
	open := &wire.Open{
		Request: id, Attempt: 1, Kind: wire.KindModel, Target: engine.Target{Model: in.Model},
		Method: http.MethodPost, Path: c.Request().URL.Path, Body: body,
		Header:    []engine.Header{{Name: "Content-Type", Value: "application/json"}},
		TimeoutMS: defaultTimeout.Milliseconds(),
	}
	sink := &responseSink{c: c}
	res, err := h.forwarder.Forward(c.Request().Context(), open, sink)
	if err != nil && !c.Response().Committed {
		c.Response().Header().Set(HeaderOutcome, res.Outcome.String())
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return err
}

type responseSink struct{ c echo.Context }

func (s *responseSink) Head(h engine.Head) error {
	for _, f := range h.Header {
		if f.Name == "Content-Type" {
			s.c.Response().Header().Set(f.Name, f.Value)
		}
	}
	s.c.Response().WriteHeader(h.Status)
	return nil
}

func (s *responseSink) Data(b []byte) error {
	if _, err := s.c.Response().Write(b); err != nil {
		return err
	}
	s.c.Response().Flush()
	return nil
}
