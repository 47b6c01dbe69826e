package api

import (
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
	"github.com/hibiscuscross/hibiscuscross/pkg/router"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// complete serves a model request. It ignores an idempotency key, because some clients send one with every POST and
// running a completion twice has no side effects.
func (s *Server) complete(c echo.Context) error {
	from, err := s.caller(c)
	if err != nil {
		return err
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	in, err := parseCompletion(body)
	if err != nil {
		return err
	}
	t, ok := from.targets[in.model]
	if !ok {
		return refuse(http.StatusNotFound, codeNotFound, "model", "the caller has no model or adapter with this name")
	}
	req, err := newRequest(c, from, t.service)
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

// plain serves a request to a plain service.
func (s *Server) plain(c echo.Context) error {
	from, err := s.caller(c)
	if err != nil {
		return err
	}
	svc, ok := from.services[c.Param("service")]
	if !ok {
		return refuse(http.StatusNotFound, codeNotFound, "service", "the caller has no plain service with this name")
	}
	u := c.Request().URL
	servicePath := strings.TrimPrefix(u.Path, "/services/"+svc.name)
	if servicePath == "" {
		servicePath = "/"
	}
	if err := checkPath(u.EscapedPath(), servicePath); err != nil {
		return err
	}
	call, ok := svc.findCall(c.Request().Method, servicePath)
	if !ok {
		return refuse(http.StatusNotFound, codeNotFound, "path", "the service has no such call")
	}
	req, err := newRequest(c, from, svc)
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
	if req.Body, err = s.readBody(c); err != nil {
		return err
	}
	req.Kind, req.NonIdempotent = wire.KindPlain, call.NonIdempotent
	req.Path = servicePath
	if esc := u.EscapedPath(); esc != u.Path {
		req.Path = strings.TrimPrefix(esc, "/services/"+svc.name)
	}
	if u.RawQuery != "" {
		req.Path += "?" + u.RawQuery
	}
	req.Header = forwardable(c.Request().Header)
	if call.NonIdempotent {
		// The service may record the key too, so it receives the canonical form that was checked.
		req.Header = append(req.Header, engine.Header{Name: HeaderIdempotencyKey, Value: req.Key})
	}
	req.Fingerprint = fingerprint(req)
	return s.forward(c, req)
}

// newRequest returns a request with the fields that model and plain requests share.
func newRequest(c echo.Context, from *caller, s *service) (*router.Request, error) {
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
		ID: id, Caller: from.name, Service: s.name, Group: s.group, Method: c.Request().Method, Deadline: end, Priority: p,
	}, nil
}

// fingerprint returns a hash that identifies a request by caller, service and content.
func fingerprint(r *router.Request) uint64 {
	return hashOf([]byte(r.Caller), []byte(r.Service), []byte(r.Method), []byte(r.Path), r.Body)
}

func (s *Server) forward(c echo.Context, req *router.Request) error {
	out := &sink{c: c, model: req.Kind == wire.KindModel, flush: http.NewResponseController(c.Response().Writer)}
	res, err := s.forwarder.Serve(c.Request().Context(), req, out)
	defer func() { _ = out.flush.SetWriteDeadline(time.Time{}) }() // the connection may be reused for further requests
	if err != nil {
		return abort(c) // the caller disconnected
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

// abort closes the caller's connection, so that a truncated body cannot be mistaken for a complete one. It returns a
// refusal if the answer has not begun.
func abort(c echo.Context) error {
	if c.Response().Committed {
		inbound.AbortAnswer(c.Response().Writer, c.Request())
	}
	return refuse(http.StatusInternalServerError, codeInternal, "", "the answer could not be written")
}

// sink writes an answer to the caller.
type sink struct {
	c             echo.Context
	model         bool // the request is for a model
	events        bool // the body is a stream of server-sent events
	stream        bool // the body is sent in parts and the outcome follows in a trailer
	flush         *http.ResponseController
	deadlineSetAt time.Time // when the write deadline was set
}

const (
	// writeTimeout bounds a write to the caller. A stream whose caller does not read occupies memory here and at the
	// agent.
	writeTimeout = 30 * time.Second
	// writeDeadlineInterval is the minimum time between two updates of the write deadline.
	writeDeadlineInterval = time.Second
)

// Head writes the status and headers. The outcome of a stream is not known yet, so its header says that the request may
// have run; the trailer replaces it.
func (s *sink) Head(h engine.Head, complete bool) error {
	out := s.c.Response().Header()
	for _, f := range h.Header {
		name := http.CanonicalHeaderKey(f.Name)
		if isReturned(name) {
			out.Add(name, f.Value)
		}
		if name == "Content-Type" && strings.HasPrefix(f.Value, "text/event-stream") {
			s.events = true
		}
	}
	if complete {
		out.Set(HeaderOutcome, wire.OutcomeDone.String())
	} else {
		s.stream = true
		out.Set("Trailer", HeaderOutcome)
		out.Set(HeaderOutcome, wire.OutcomeUnknown.String())
	}
	s.c.Response().WriteHeader(h.Status)
	return nil
}

// Data writes bytes of the body and, for a stream, flushes them at once.
func (s *sink) Data(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if now := time.Now(); now.Sub(s.deadlineSetAt) > writeDeadlineInterval {
		s.deadlineSetAt = now
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

// end finishes the answer: it sets the trailer and, for an event stream, writes the trailing events. R is nil for a
// complete answer.
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

// notReturned lists answer headers that apply to the hop from the agent only or that this router sets itself.
var notReturned = map[string]bool{
	"Connection": true, "Content-Length": true, "Date": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "X-Request-Id": true,
}

func isReturned(name string) bool {
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
