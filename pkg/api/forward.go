package api

import (
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/router"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// complete serves a model request. An idempotency key on it is ignored, because some clients send one with every POST
// and running a completion twice has no effect.
func (s *Server) complete(c echo.Context) error {
	x, err := s.caller(c)
	if err != nil {
		return err
	}
	body, err := readBody(c)
	if err != nil {
		return err
	}
	in, err := parseCompletion(body)
	if err != nil {
		return err
	}
	t, ok := x.targets[in.model]
	if !ok {
		return refuse(http.StatusNotFound, codeNotFound, "model", "the caller has no model or adapter with this name")
	}
	req, err := newRequest(c, x, t.service)
	if err != nil {
		return err
	}
	req.Kind, req.Target, req.Body = wire.KindModel, t.target, body
	req.MemoryBytes, req.Ceiling = t.memoryBytes, t.ceiling
	req.Path = c.Request().URL.Path
	req.Header = []engine.Header{{Name: "Content-Type", Value: "application/json"}}
	req.PrefixHash = prefixHash(t.target, in.prompt)
	req.Fingerprint = fingerprint(req)
	return s.forward(c, req)
}

// plain serves a call of a plain service.
func (s *Server) plain(c echo.Context) error {
	x, err := s.caller(c)
	if err != nil {
		return err
	}
	svc, ok := x.services[c.Param("service")]
	if !ok {
		return refuse(http.StatusNotFound, codeNotFound, "service", "the caller has no plain service with this name")
	}
	u := c.Request().URL
	below := strings.TrimPrefix(u.Path, "/services/"+svc.name)
	if below == "" {
		below = "/"
	}
	if err := checkPath(u.EscapedPath(), below); err != nil {
		return err
	}
	call, ok := svc.call(c.Request().Method, below)
	if !ok {
		return refuse(http.StatusNotFound, codeNotFound, "path", "the service has no such call")
	}
	req, err := newRequest(c, x, svc)
	if err != nil {
		return err
	}
	if call.NonIdempotent {
		if req.Key, err = parseKey(c.Request().Header.Get(HeaderIdempotencyKey)); err != nil {
			return err
		}
		if req.FirstSend, err = firstSend(c.Request().Header); err != nil {
			return err
		}
	}
	if req.Body, err = readBody(c); err != nil {
		return err
	}
	req.Kind, req.NonIdempotent = wire.KindPlain, call.NonIdempotent
	req.Path = below
	if esc := u.EscapedPath(); esc != u.Path {
		req.Path = strings.TrimPrefix(esc, "/services/"+svc.name)
	}
	if u.RawQuery != "" {
		req.Path += "?" + u.RawQuery
	}
	req.Header = forwardable(c.Request().Header)
	if call.NonIdempotent {
		// The service may record the key too; it gets the canonical form that was checked.
		req.Header = append(req.Header, engine.Header{Name: HeaderIdempotencyKey, Value: req.Key})
	}
	req.Fingerprint = fingerprint(req)
	return s.forward(c, req)
}

// newRequest fills what all requests have.
func newRequest(c echo.Context, x *caller, s *service) (*router.Request, error) {
	h := c.Request().Header
	end, err := deadline(h, s, time.Now())
	if err != nil {
		return nil, err
	}
	p, err := priority(h, s)
	if err != nil {
		return nil, err
	}
	id, _ := c.Get(keyRequestID).(string)
	return &router.Request{
		ID: id, Caller: x.name, Service: s.name, Group: s.group, Method: c.Request().Method, Deadline: end, Priority: p,
	}, nil
}

// fingerprint names a request by caller, service and content.
func fingerprint(r *router.Request) uint64 {
	return hashOf([]byte(r.Caller), []byte(r.Service), []byte(r.Method), []byte(r.Path), r.Body)
}

func (s *Server) forward(c echo.Context, req *router.Request) error {
	out := &sink{c: c, model: req.Kind == wire.KindModel, flush: http.NewResponseController(c.Response().Writer)}
	res, err := s.forwarder.Serve(c.Request().Context(), req, out)
	defer func() { _ = out.flush.SetWriteDeadline(time.Time{}) }() // the connection may carry further requests
	if err != nil {
		return abort(c) // the caller's connection has ended
	}
	if res.Refusal == nil {
		return out.end(res.Outcome, nil)
	}
	r := fromWire(res.Refusal)
	if !c.Response().Committed {
		return r
	}
	return out.end(res.Outcome, r)
}

// abort closes the caller's connection, so that a truncated body cannot be taken for a whole one.
func abort(c echo.Context) error {
	if c.Response().Committed {
		panic(http.ErrAbortHandler)
	}
	return refuse(http.StatusInternalServerError, codeInternal, "", "the answer could not be written")
}

// sink writes an answer to the caller.
type sink struct {
	c      echo.Context
	model  bool
	events bool
	stream bool // the body arrives in parts and the outcome follows as a trailer
	flush  *http.ResponseController
	armed  time.Time // when the write deadline was set
}

const (
	// writeTimeout ends a connection whose caller does not read, because its stream holds memory here and at the agent.
	writeTimeout = 30 * time.Second
	// rearmInterval is the least time between two settings of the write deadline.
	rearmInterval = time.Second
)

// Head writes the status and headers. The outcome of a stream is not known yet; until the trailer says more, the request
// may have run.
func (s *sink) Head(h engine.Head, whole bool) error {
	out := s.c.Response().Header()
	for _, f := range h.Header {
		name := http.CanonicalHeaderKey(f.Name)
		if returned(name) {
			out.Add(name, f.Value)
		}
		if name == "Content-Type" && strings.HasPrefix(f.Value, "text/event-stream") {
			s.events = true
		}
	}
	if whole {
		out.Set(HeaderOutcome, wire.OutcomeDone.String())
	} else {
		s.stream = true
		out.Set("Trailer", HeaderOutcome)
		out.Set(HeaderOutcome, wire.OutcomeUnknown.String())
	}
	s.c.Response().WriteHeader(h.Status)
	return nil
}

// Data writes bytes of the body and sends them at once.
func (s *sink) Data(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if now := time.Now(); now.Sub(s.armed) > rearmInterval {
		s.armed = now
		_ = s.flush.SetWriteDeadline(now.Add(writeTimeout))
	}
	if _, err := s.c.Response().Writer.Write(b); err != nil {
		return err
	}
	if !s.stream {
		return nil
	}
	return s.flush.Flush()
}

// end writes what follows the body. R is nil for a whole answer.
func (s *sink) end(outcome wire.Outcome, r *refusal) error {
	if !s.stream {
		return nil
	}
	if r != nil && !(s.model && s.events) {
		return abort(s.c)
	}
	s.c.Response().Header().Set(HeaderOutcome, outcome.String())
	if s.model && s.events {
		return s.Data(trailingEvent(outcome, r))
	}
	return nil
}

// notReturned are headers of an answer that concern the agent's hop or that this router sets.
var notReturned = map[string]bool{
	"Connection": true, "Content-Length": true, "Date": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "X-Request-Id": true,
}

func returned(name string) bool {
	return !notReturned[name] && !strings.HasPrefix(name, "Hibiscuscross-")
}

func sortedNames(h http.Header) []string {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
