// Package plain provides the module "engine.plain": a client of a plain HTTP service without models.
package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
)

// ID is the id of the module.
const ID = "engine.plain"

// DefaultSlots is the default of the setting slots, the number of calls that a service runs at once.
const DefaultSlots = 32

func init() {
	kernel.Register(ID, func() kernel.Module { return new(Engine) })
}

// Engine is a client of one plain service. Each call uses a new connection: net/http by itself retries some requests,
// in particular those with an Idempotency-Key, after a reused connection failed, and a call must run only once.
type Engine struct {
	base  string
	slots int
	http  *http.Client
}

var _ engine.Engine = (*Engine)(nil)

// Provision reads the settings url and slots, the number of calls run at once. Slots defaults to DefaultSlots.
func (e *Engine) Provision(_ context.Context, s kernel.Settings) error {
	e.base = s.TakeURL()
	slots, err := strconv.Atoi(s.Take("slots", strconv.Itoa(DefaultSlots)))
	if err != nil {
		return fault.Wrap(err, fault.StepSettings, ID, "parse setting slots")
	}
	e.slots = slots
	t := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	e.http = &http.Client{Transport: h1.Transport{Transport: t}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return nil
}

// Validate checks the settings.
func (e *Engine) Validate() error {
	if err := kernel.CheckURL(ID, e.base); err != nil {
		return err
	}
	if e.slots <= 0 {
		return fault.New(fault.StepSettings, ID, "setting slots is not positive")
	}
	return nil
}

// Cleanup has nothing to release.
func (e *Engine) Cleanup() error { return nil }

// Order returns engine.ErrRefused, because a plain service has no targets.
func (e *Engine) Order(context.Context, engine.Order) error {
	return fault.Wrap(engine.ErrRefused, fault.StepOrder, e.base, "a plain service takes no orders")
}

// Listing returns the slots without querying the service. The epoch is constant, because a plain service reports none.
func (e *Engine) Listing(context.Context) (engine.Listing, error) {
	return engine.Listing{Epoch: "plain", Slots: e.slots}, nil
}

// hopHeaders lists hop-by-hop headers, which are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true,
}

// Start sends the call once, with its method, path, query, body and end-to-end headers unchanged. The errors are
// engine.ErrNotStarted if no connection was established, ErrDied if the service closed it without an answer, and
// ErrUnknown. A plain service sends no heartbeats, so only ctx bounds the call.
func (e *Engine) Start(ctx context.Context, c engine.Call) (engine.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := e.request(ctx, c)
	if err != nil {
		cancel()
		return nil, fault.Wrap(fmt.Errorf("%w: %w", engine.ErrNotStarted, err), fault.StepDispatch, e.base, "create request")
	}
	resp, err := e.http.Do(req)
	if err != nil {
		cancel()
		class := classify(err)
		if !sent.Load() {
			class = engine.ErrNotStarted
		}
		return nil, fault.Wrap(fmt.Errorf("%w: %w", class, err), fault.StepDispatch, e.base, "start call")
	}
	return &stream{base: e.base, resp: resp, cancel: cancel, head: headOf(resp, c.Method)}, nil
}

func (e *Engine) request(ctx context.Context, c engine.Call) (*http.Request, error) {
	if !strings.HasPrefix(c.Path, "/") {
		return nil, fault.Newf(fault.StepDispatch, e.base, "path %q does not begin with /", c.Path)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, e.base+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // prevents net/http from sending the body a second time
	for _, h := range c.Header {
		if !hopHeaders[http.CanonicalHeaderKey(h.Name)] {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.Header.Set("X-Request-Id", c.RequestID)
	if c.Traceparent != "" {
		req.Header.Set("Traceparent", c.Traceparent)
	}
	return req, nil
}

// Resume returns engine.ErrUnknown: a plain service cannot send an answer again, and the call may have run.
func (e *Engine) Resume(context.Context, engine.Call) (engine.Stream, error) {
	return nil, fault.Wrap(engine.ErrUnknown, fault.StepDispatch, e.base, "a plain service cannot resume a call")
}

func classify(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return engine.ErrDied
	}
	return engine.ErrUnknown
}

// headOf returns the head of an answer without hop-by-hop headers. It keeps Content-Length for a HEAD request, whose
// answer has no body from which the length could be derived.
func headOf(resp *http.Response, method string) engine.Head {
	h := engine.Head{Status: resp.StatusCode}
	for name, values := range resp.Header {
		if hopHeaders[name] && (name != "Content-Length" || method != http.MethodHead) {
			continue
		}
		for _, v := range values {
			h.Header = append(h.Header, engine.Header{Name: name, Value: v})
		}
	}
	sort.SliceStable(h.Header, func(i, j int) bool { return h.Header[i].Name < h.Header[j].Name })
	return h
}

type stream struct {
	base   string
	resp   *http.Response
	cancel context.CancelFunc
	head   engine.Head
}

const readBytes = 32 << 10

// Head implements engine.Stream.
func (s *stream) Head() engine.Head { return s.head }

// Next implements engine.Stream. A body that has no length and is not chunked ends with its connection, so its end does
// not show that it is complete and Next returns engine.ErrUnknown. If ctx ends, the call is cancelled.
func (s *stream) Next(ctx context.Context) ([]byte, error) {
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	buf := make([]byte, readBytes)
	for {
		n, err := s.resp.Body.Read(buf)
		if n > 0 {
			return buf[:n], nil // the next read returns the error again
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err == io.EOF && s.resp.ContentLength < 0 && len(s.resp.TransferEncoding) == 0 {
			return nil, fault.Wrap(engine.ErrUnknown, fault.StepStream, s.base, "answer has no length and is not chunked")
		}
		if err == io.EOF {
			return nil, io.EOF
		}
		if err != nil {
			return nil, fault.Wrap(fmt.Errorf("%w: %w", classify(err), err), fault.StepStream, s.base, "read answer")
		}
	}
}

// Close implements engine.Stream.
func (s *stream) Close() error {
	s.cancel()
	return s.resp.Body.Close()
}
