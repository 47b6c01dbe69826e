package httpstore

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
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// ID is the module's id.
const ID = "store.http"

// DefaultTimeout bounds a call; a held watch may take its hold longer.
const DefaultTimeout = 2 * time.Second

// maxListingBytes bounds the answer to a list or watch.
const maxListingBytes = 256 << 20

func init() {
	kernel.Register(ID, func() kernel.Module { return new(Client) })
}

// Client is a client of the object API.
type Client struct {
	base    string
	timeout time.Duration
	// reads keeps connections. writes has one for each call: a write on a kept connection that has been closed or gone
	// silent meanwhile would have an unknown outcome, and settling it costs more than a dial.
	reads, writes *http.Client
}

var _ store.Store = (*Client)(nil)

// Provision takes the settings url, for example "http://127.0.0.1:9100", and timeout, a duration (DefaultTimeout).
func (c *Client) Provision(_ context.Context, s kernel.Settings) error {
	c.base = s.TakeURL()
	timeout, err := s.TakeDuration(ID, "timeout", DefaultTimeout)
	if err != nil {
		return err
	}
	c.timeout = timeout
	c.reads, c.writes = newClient(timeout, false), newClient(timeout, true)
	return nil
}

func newClient(timeout time.Duration, fresh bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
			DisableKeepAlives:   fresh,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     30 * time.Second,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Validate checks the settings.
func (c *Client) Validate() error {
	if err := kernel.CheckURL(ID, c.base); err != nil {
		return err
	}
	if c.timeout <= 0 {
		return fault.New(fault.StepSettings, ID, "setting timeout is not positive")
	}
	return nil
}

// Cleanup closes idle connections.
func (c *Client) Cleanup() error {
	c.reads.CloseIdleConnections()
	return nil
}

// answer is a response read in full.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// call is one HTTP exchange.
type call struct {
	method, path, peer string
	body               []byte
	expect             *uint64
	timeout            time.Duration
	silence            time.Duration // longest time without a byte; 0 for none
	limit              int64
}

func (c *call) isWrite() bool { return c.method == http.MethodPut || c.method == http.MethodDelete }

// do makes the exchange. On a timeout or silence it drops idle connections as well, because they lead to the same
// peer and may be silent too; the next call then dials anew.
func (c *Client) do(ctx context.Context, in call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, in.timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, in.method, c.base+in.path, bytes.NewReader(in.body))
	if err != nil {
		return answer{}, fault.Wrap(fmt.Errorf("%w: %w", store.ErrUnavailable, err), fault.StepStore, in.peer, "make request")
	}
	if in.expect != nil {
		req.Header.Set("If-Match", ETag(*in.expect))
	}
	alive := func() {}
	if in.silence > 0 {
		t := time.AfterFunc(in.silence, cancel)
		defer t.Stop()
		alive = func() { t.Reset(in.silence) }
	}
	out, err := c.exchange(req, in, alive)
	if err == nil {
		return out, nil
	}
	if ctx.Err() != nil {
		c.reads.CloseIdleConnections()
	}
	class := store.ErrUnavailable
	if in.isWrite() && sent.Load() {
		class = store.ErrUnknown
	}
	return answer{}, fault.Wrap(fmt.Errorf("%w: %w", class, err), fault.StepStore, in.peer, strings.ToLower(in.method)+" object")
}

func (c *Client) exchange(req *http.Request, in call, alive func()) (answer, error) {
	client := c.reads
	if in.isWrite() {
		client = c.writes
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	out := answer{status: resp.StatusCode, header: resp.Header}
	if in.isWrite() {
		// The status says all about a write; a body cut off afterwards does not change the outcome.
		out.body, _ = io.ReadAll(io.LimitReader(resp.Body, 1024))
		return out, nil
	}
	out.body, err = io.ReadAll(io.LimitReader(&aliveReader{resp.Body, alive}, in.limit+1))
	if err == nil && int64(len(out.body)) > in.limit {
		err = errors.New("answer over the size limit")
	}
	return out, err
}

// aliveReader calls alive on each read that brings bytes.
type aliveReader struct {
	r     io.Reader
	alive func()
}

func (a *aliveReader) Read(b []byte) (int, error) {
	n, err := a.r.Read(b)
	if n > 0 {
		a.alive()
	}
	return n, err
}

// statusError maps an error status to the interface's errors.
func statusError(in call, a answer) error {
	text := fmt.Sprintf("status %d: %.200s", a.status, strings.TrimSpace(string(a.body)))
	switch a.status {
	case http.StatusNotFound:
		return fault.Wrap(store.ErrNotFound, fault.StepStore, in.peer, text)
	case http.StatusPreconditionFailed:
		return fault.Wrap(store.ErrConflict, fault.StepStore, in.peer, text)
	case http.StatusGone:
		return fault.Wrap(store.ErrCompacted, fault.StepStore, in.peer, text)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fault.New(fault.StepStore, in.peer, text)
	}
	if in.isWrite() && a.header.Get(HeaderEffect) != EffectNone {
		return fault.Wrap(store.ErrUnknown, fault.StepStore, in.peer, text)
	}
	return fault.Wrap(store.ErrUnavailable, fault.StepStore, in.peer, text)
}

func (c *Client) object(method, key string) call {
	return call{method: method, path: "/v1/objects/" + (&url.URL{Path: key}).EscapedPath(), peer: key, timeout: c.timeout, limit: store.MaxValueBytes}
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	in := c.object(http.MethodGet, key)
	a, err := c.do(ctx, in)
	if err != nil {
		return store.Object{}, err
	}
	if a.status != http.StatusOK {
		return store.Object{}, statusError(in, a)
	}
	version, err := ParseETag(a.header.Get("ETag"))
	if err != nil {
		return store.Object{}, fault.Wrap(fmt.Errorf("%w: %w", store.ErrUnavailable, err), fault.StepStore, key, "read version")
	}
	return store.Object{Key: key, Version: version, Value: a.body}, nil
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > store.MaxValueBytes {
		return 0, fault.Newf(fault.StepStore, key, "value of %d bytes is over the limit of %d", len(value), store.MaxValueBytes)
	}
	in := c.object(http.MethodPut, key)
	in.body, in.expect = value, &expect
	a, err := c.do(ctx, in)
	if err != nil {
		return 0, err
	}
	if a.status != http.StatusOK {
		return 0, statusError(in, a)
	}
	version, err := ParseETag(a.header.Get("ETag"))
	if err != nil {
		return 0, fault.Wrap(fmt.Errorf("%w: %w", store.ErrUnknown, err), fault.StepStore, key, "read version")
	}
	return version, nil
}

// Delete implements store.Store. It returns store.ErrNotFound if there is no object.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	in := c.object(http.MethodDelete, key)
	in.expect = &expect
	a, err := c.do(ctx, in)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return statusError(in, a)
	}
	return nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	path := "/v1/objects?" + url.Values{"prefix": {prefix}}.Encode()
	return c.listing(ctx, call{method: http.MethodGet, path: path, peer: prefix, timeout: c.timeout, limit: maxListingBytes})
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, since uint64, wait time.Duration) ([]store.Object, uint64, error) {
	path := "/v1/watch?" + url.Values{"since": {fmt.Sprint(since)}, "wait": {wait.String()}}.Encode()
	return c.listing(ctx, call{method: http.MethodGet, path: path, peer: "watch", timeout: wait + c.timeout, silence: max(watchSilence, c.timeout), limit: maxListingBytes})
}

func (c *Client) listing(ctx context.Context, in call) ([]store.Object, uint64, error) {
	a, err := c.do(ctx, in)
	if err != nil {
		return nil, 0, err
	}
	if a.status != http.StatusOK {
		return nil, 0, statusError(in, a)
	}
	var l Listing
	if err := json.Unmarshal(a.body, &l); err != nil {
		return nil, 0, fault.Wrap(fmt.Errorf("%w: %w", store.ErrUnavailable, err), fault.StepStore, in.peer, "decode listing")
	}
	return l.objects(), l.Revision, nil
}
