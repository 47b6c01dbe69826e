// Package openai provides the module "engine.openai": a model engine that speaks the OpenAI HTTP format with
// server-sent events, and takes orders under /admin.
//
// Beyond the OpenAI format the protocol has:
//   - X-Request-Id names a call. With X-Resume-Offset a request resumes the call with this id, running or finished, at
//     that offset of the answer's body; 404 with the code unknown_request says that the engine does not have it.
//   - A streamed answer has a comment line (":") each engine.LivenessInterval. Comment lines do not count in offsets.
//     While the engine works on a whole answer or an order, it sends a 102 status at the same interval.
//   - A streamed answer ends with the event [DONE]; a whole one has a Content-Length or is chunked.
//   - The field continue_from of the body is the text produced so far by another engine. The answer has only what
//     follows.
//   - X-Priority orders calls that wait for a place in the batch; larger is more urgent.
//   - POST /admin/orders takes an engine.Order: 200 done, 412 old fencing number, and without effect 400, 404, 409 and
//     507. GET /admin/listing answers with an engine.Listing.
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
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
)

// ID is the module's id.
const ID = "engine.openai"

// Headers by which the engine names, orders and resumes a call.
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

// Engine is a client of one model engine. Each exchange has a connection of its own: an idle connection may have gone
// silent or belong to an earlier engine process, and net/http sends a request again on its own only after it failed on
// a reused one.
type Engine struct {
	base string
	http *http.Client
}

var _ engine.Engine = (*Engine)(nil)

// Provision takes the setting url, for example "http://127.0.0.1:9000".
func (e *Engine) Provision(_ context.Context, s kernel.Settings) error {
	e.base = s.TakeURL()
	t := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	e.http = &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return nil
}

// Validate checks that an address was given.
func (e *Engine) Validate() error {
	return kernel.CheckURL(ID, e.base)
}

// Cleanup has nothing to release.
func (e *Engine) Cleanup() error { return nil }

// exchange sends the request and waits for the answer's head. It gives up after engine.LivenessTimeout without a sign of
// life. The errors are engine.ErrNotStarted, ErrUnresponsive, ErrDied or ErrUnknown. The caller calls cancel at the end.
func (e *Engine) exchange(req *http.Request) (resp *http.Response, cancel context.CancelFunc, err error) {
	ctx, stop := context.WithCancelCause(req.Context())
	silence := time.AfterFunc(engine.LivenessTimeout, func() { stop(engine.ErrUnresponsive) })
	defer silence.Stop()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
		Got1xxResponse: func(int, textHeader) error {
			silence.Reset(engine.LivenessTimeout)
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
	case isClosed(err):
		class = engine.ErrDied
	}
	cancel()
	return nil, nil, fmt.Errorf("%w: %w", class, err)
}

// isClosed reports whether the peer ended the connection, as it does when its process ends.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Order posts the order to /admin/orders. Without an answer the outcome is engine.ErrUnknown, or engine.ErrNotStarted
// if no connection was made.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(err, fault.StepOrder, e.base, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/admin/orders", bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(fmt.Errorf("%w: %w", engine.ErrNotStarted, err), fault.StepOrder, e.base, "make request")
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
		return l, fault.Wrap(err, fault.StepOrder, e.base, "make request")
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
		return l, fault.New(fault.StepOrder, e.base, "listing without an epoch")
	}
	return l, nil
}
