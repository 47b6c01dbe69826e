// Package openai provides the module "engine.openai": a model engine that speaks the OpenAI HTTP shape with
// server-sent events, and takes orders under /admin.
package openai

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
)

// ID is the module's id.
const ID = "engine.openai"

func init() {
	kernel.Register(ID, func() kernel.Module { return new(Engine) })
}

// Engine is a client of one model engine.
type Engine struct {
	base string
	// shared keeps connections; fresh opens one connection for each call, which is closed afterwards.
	shared *http.Client
	fresh  *http.Client
}

var _ engine.Engine = (*Engine)(nil)

// Provision takes the setting url, for example "http://127.0.0.1:9000".
func (e *Engine) Provision(_ context.Context, s kernel.Settings) error {
	e.base = strings.TrimSuffix(s.Take("url", ""), "/")
	e.shared = newClient(false)
	e.fresh = newClient(true)
	return nil
}

// Validate checks that an address was given.
func (e *Engine) Validate() error {
	if e.base == "" {
		return fault.New(fault.StepSettings, ID, "setting url is empty")
	}
	return nil
}

// Cleanup closes idle connections.
func (e *Engine) Cleanup() error {
	e.shared.CloseIdleConnections()
	return nil
}

func newClient(fresh bool) *http.Client {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 64,
	}
	return &http.Client{Transport: t}
}

// Order posts the order to /admin/orders.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(err, fault.StepOrder, e.base, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/admin/orders", bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, fault.StepOrder, e.base, "make request")
	}
	resp, err := e.fresh.Do(req)
	if err != nil {
		return fault.Wrap(fmt.Errorf("%w: %w", engine.ErrUnknown, err), fault.StepOrder, e.base, "send order")
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return fault.Wrap(engine.ErrStaleFence, fault.StepOrder, e.base, strings.TrimSpace(string(text)))
	case http.StatusConflict, http.StatusInsufficientStorage, http.StatusNotFound, http.StatusBadRequest:
		return fault.Wrap(engine.ErrRefused, fault.StepOrder, e.base, strings.TrimSpace(string(text)))
	}
	return fault.Wrap(engine.ErrUnknown, fault.StepOrder, e.base, resp.Status)
}

// Listing reads /admin/listing.
func (e *Engine) Listing(ctx context.Context) (engine.Listing, error) {
	var l engine.Listing
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/admin/listing", nil)
	if err != nil {
		return l, fault.Wrap(err, fault.StepOrder, e.base, "make request")
	}
	resp, err := e.fresh.Do(req)
	if err != nil {
		return l, fault.Wrap(err, fault.StepOrder, e.base, "read listing")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fault.Newf(fault.StepOrder, e.base, "read listing: %s", resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		return l, fault.Wrap(err, fault.StepOrder, e.base, "decode listing")
	}
	return l, nil
}

// Start posts the call to its path.
func (e *Engine) Start(ctx context.Context, c engine.Call) (engine.Stream, error) {
	return e.open(ctx, e.shared, c)
}

// Resume continues the call at c.Offset on a new connection.
func (e *Engine) Resume(ctx context.Context, c engine.Call) (engine.Stream, error) {
	return e.open(ctx, e.fresh, c)
}

// Headers by which the engine names, orders and resumes a call.
const (
	headerRequest  = "X-Request-Id"
	headerOffset   = "X-Resume-Offset"
	headerPriority = "X-Priority"
)

func (e *Engine) open(ctx context.Context, client *http.Client, c engine.Call) (engine.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(ctx, c.Method, e.base+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		cancel()
		return nil, fault.Wrap(fmt.Errorf("%w: %w", engine.ErrNotStarted, err), fault.StepDispatch, e.base, "make request")
	}
	for _, h := range c.Header {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(headerRequest, c.Request)
	req.Header.Set(headerOffset, fmt.Sprint(c.Offset))
	req.Header.Set(headerPriority, fmt.Sprint(c.Priority))
	if c.Traceparent != "" {
		req.Header.Set("Traceparent", c.Traceparent)
	}
	resp, err := client.Do(req)
	if err != nil {
		cancel()
		return nil, fault.Wrap(fmt.Errorf("%w: %w", startError(err), err), fault.StepDispatch, e.base, "start call")
	}
	return newStream(e.base, resp, cancel), nil
}

// startError tells a call that never left from one that may have started.
func startError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return engine.ErrNotStarted
	}
	return engine.ErrUnknown
}

type chunk struct {
	bytes []byte
	err   error
}

type stream struct {
	base   string
	head   engine.Head
	body   io.ReadCloser
	cancel context.CancelFunc
	chunks chan chunk
	done   chan struct{}
}

// streamBuffer is how many chunks a stream reads ahead of its consumer.
const streamBuffer = 16

func newStream(base string, resp *http.Response, cancel context.CancelFunc) *stream {
	s := &stream{base: base, body: resp.Body, cancel: cancel, chunks: make(chan chunk, streamBuffer), done: make(chan struct{})}
	s.head.Status = resp.StatusCode
	for name, values := range resp.Header {
		for _, v := range values {
			s.head.Header = append(s.head.Header, engine.Header{Name: name, Value: v})
		}
	}
	go s.read(bufio.NewReader(resp.Body))
	return s
}

// read sends the body line by line. Comment lines are signs of life and arrive as empty chunks.
func (s *stream) read(r *bufio.Reader) {
	for {
		line, err := r.ReadBytes('\n')
		if len(line) > 0 && line[0] == ':' {
			line = []byte{}
		}
		if len(line) > 0 || err == nil {
			s.send(chunk{bytes: line})
		}
		if err != nil {
			s.send(chunk{err: err})
			return
		}
	}
}

func (s *stream) send(c chunk) {
	select {
	case s.chunks <- c:
	case <-s.done:
	}
}

func (s *stream) Head() engine.Head { return s.head }

func (s *stream) Next(ctx context.Context) ([]byte, error) {
	silence := time.NewTimer(engine.SilenceLimit)
	defer silence.Stop()
	for {
		select {
		case c := <-s.chunks:
			if c.err != nil && c.err != io.EOF {
				return nil, fault.Wrap(fmt.Errorf("%w: %w", engine.ErrUnknown, c.err), fault.StepStream, s.base, "read stream")
			}
			if c.err != nil || len(c.bytes) > 0 {
				return c.bytes, c.err
			}
			silence.Reset(engine.SilenceLimit)
		case <-silence.C:
			return nil, fault.Wrap(engine.ErrSilent, fault.StepStream, s.base, "read stream")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *stream) Close() error {
	select {
	case <-s.done:
	default:
		close(s.done)
	}
	s.cancel()
	return s.body.Close()
}
