// Package openai provides the module "engine.openai": a client of a model engine with the OpenAI HTTP API, server-sent
// events and orders under /admin.
//
// The protocol extends the OpenAI API:
//   - X-Request-Id identifies a call. A request with X-Resume-Offset resumes the call with this id, running or
//     finished, at that offset of the answer's body. The status 404 with the code unknown_request means that the
//     engine does not have the call.
//   - A streamed answer contains a comment line (":") as a heartbeat every engine.LivenessInterval. Comment lines do
//     not count in offsets. While the engine works on an order or an answer that is not streamed, it sends a 102 status
//     at the same interval.
//   - A streamed answer ends with the event [DONE]. An answer that is not streamed has a Content-Length or is chunked.
//   - The field continue_from of the body is the text generated so far by another engine. The answer contains only the
//     rest.
//   - X-Priority orders the calls that wait for a slot in the batch; larger is more urgent.
//   - POST /admin/orders takes an engine.Order. The status is 200 for a completed order, 412 for an old fencing number,
//     and 400, 404, 409 or 507 for other refusals, which have no effect. GET /admin/listing returns an engine.Listing.
//   - GET /admin/kv/{request} exports the KV cache of a call as an opaque document, and POST /admin/kv imports it.
package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
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
const ID = "engine.openai"

// Headers that identify, prioritize and resume a call.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderOffset   = "X-Resume-Offset"
	HeaderPriority = "X-Priority"
)

// Codes in an engine's error documents.
const (
	CodeUnknownRequest = "unknown_request"
	CodeNotLoaded      = "model_not_loaded"
)

func init() {
	kernel.Register(ID, func() kernel.Module { return new(Engine) })
}

// Engine is a client of one model engine. Each exchange uses a new connection: an idle connection may be dead or belong
// to an earlier engine process, and net/http retries a request by itself only after a reused connection failed.
type Engine struct {
	base string
	http *http.Client
}

var _ engine.Engine = (*Engine)(nil)

// Provision reads the setting url, for example "http://127.0.0.1:9000".
func (e *Engine) Provision(_ context.Context, s kernel.Settings) error {
	e.base = s.TakeURL()
	t := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	e.http = &http.Client{Transport: h1.Transport{Transport: t}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return nil
}

// Validate checks the setting url.
func (e *Engine) Validate() error {
	return kernel.CheckURL(ID, e.base)
}

// Cleanup has nothing to release.
func (e *Engine) Cleanup() error { return nil }

// exchange sends the request and waits for the head of the answer, at most engine.LivenessTimeout after the last
// heartbeat. The errors are engine.ErrNotStarted, ErrUnresponsive, ErrDied and ErrUnknown. The caller must call cancel
// when it is done with the answer.
func (e *Engine) exchange(req *http.Request) (resp *http.Response, cancel context.CancelFunc, err error) {
	ctx, stop := context.WithCancelCause(req.Context())
	liveness := time.AfterFunc(engine.LivenessTimeout, func() { stop(engine.ErrUnresponsive) })
	defer liveness.Stop()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
		Got1xxResponse: func(int, textHeader) error {
			liveness.Reset(engine.LivenessTimeout)
			return nil
		},
	})
	cancel = func() { stop(context.Canceled) }
	resp, err = e.http.Do(req.WithContext(ctx))
	if err == nil {
		return resp, cancel, nil
	}
	class := engine.ErrUnknown
	switch {
	case !sent.Load():
		class = engine.ErrNotStarted
	case errors.Is(context.Cause(ctx), engine.ErrUnresponsive):
		class = engine.ErrUnresponsive
	case isClosedByPeer(err):
		class = engine.ErrDied
	}
	cancel()
	return nil, nil, fmt.Errorf("%w: %w", class, err)
}

// isClosedByPeer reports whether the peer closed the connection, which happens when its process ends.
func isClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Order posts the order to /admin/orders. If no answer arrives, it returns engine.ErrUnknown, or engine.ErrNotStarted
// if no connection was established.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(err, fault.StepOrder, e.base, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/admin/orders", bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(fmt.Errorf("%w: %w", engine.ErrNotStarted, err), fault.StepOrder, e.base, "create request")
	}
	resp, cancel, err := e.exchange(req)
	if err != nil {
		if !errors.Is(err, engine.ErrNotStarted) {
			err = fmt.Errorf("%w: %w", engine.ErrUnknown, err)
		}
		return fault.Wrap(err, fault.StepOrder, e.base, "send order")
	}
	defer cancel()
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
	reason := strings.TrimSpace(string(text))
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return fault.Wrap(engine.ErrStaleFence, fault.StepOrder, e.base, reason)
	case http.StatusConflict, http.StatusInsufficientStorage, http.StatusNotFound, http.StatusBadRequest:
		return fault.Wrap(engine.ErrRefused, fault.StepOrder, e.base, reason)
	}
	return fault.Wrap(engine.ErrUnknown, fault.StepOrder, e.base, resp.Status+" "+reason)
}

// Listing reads /admin/listing.
func (e *Engine) Listing(ctx context.Context) (engine.Listing, error) {
	var l engine.Listing
	ctx, stop := context.WithTimeout(ctx, engine.LivenessTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/admin/listing", nil)
	if err != nil {
		return l, fault.Wrap(err, fault.StepOrder, e.base, "create request")
	}
	resp, cancel, err := e.exchange(req)
	if err != nil {
		return l, fault.Wrap(err, fault.StepOrder, e.base, "read listing")
	}
	defer cancel()
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fault.Newf(fault.StepOrder, e.base, "read listing: %s", resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		return l, fault.Wrap(err, fault.StepOrder, e.base, "decode listing")
	}
	if l.Epoch == "" {
		return l, fault.New(fault.StepOrder, e.base, "listing has no epoch")
	}
	return l, nil
}
