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
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// ID is the id of the module.
const ID = "store.http"

// DefaultTimeout is the default time limit of a call. A watch may take its wait time in addition.
const DefaultTimeout = 2 * time.Second

// maxListingBytes is the maximum size of the response to a list or watch.
const maxListingBytes = 256 << 20

func init() {
	kernel.Register(ID, func() kernel.Module { return new(Client) })
}

// Client is a client of the object API.
type Client struct {
	base    string
	timeout time.Duration
	// reads reuses connections. writes opens a new connection for each call: a write on an idle connection that has
	// been closed or become unresponsive would have an unknown outcome, and resolving it costs more than a dial.
	reads, writes *http.Client
}

var _ store.Store = (*Client)(nil)

// Provision reads the settings url, for example "http://127.0.0.1:9100", and timeout, a duration with the default
// DefaultTimeout.
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

func newClient(timeout time.Duration, disableKeepAlives bool) *http.Client {
	return &http.Client{
		Transport: h1.Transport{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
			DisableKeepAlives:   disableKeepAlives,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     30 * time.Second,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Validate checks that the URL is well-formed and the timeout positive.
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

// response is an HTTP response whose body has been read.
type response struct {
	status int
	header http.Header
	body   []byte
}

// call is the request of one HTTP exchange.
type call struct {
	method, path, target string
	body                 []byte
	expect               *uint64
	timeout              time.Duration
	livenessTimeout      time.Duration // maximum time without a byte of the response; 0 for no limit
	limit                int64
}

func (c *call) isWrite() bool { return c.method == http.MethodPut || c.method == http.MethodDelete }

// do performs the exchange. After either timeout it also closes idle connections, because they lead to the same server
// and may be dead too; the next call then dials again.
func (c *Client) do(ctx context.Context, in call) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, in.timeout)
	defer cancel()
	var maybeSent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { maybeSent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, in.method, c.base+in.path, bytes.NewReader(in.body))
	if err != nil {
		return response{}, fault.Wrap(fmt.Errorf("%w: %w", store.ErrUnavailable, err), fault.StepStore, in.target, "create request")
	}
	if in.expect != nil {
		req.Header.Set("If-Match", ETag(*in.expect))
	}
	onData := func() {}
	if in.livenessTimeout > 0 {
		t := time.AfterFunc(in.livenessTimeout, cancel)
		defer t.Stop()
		onData = func() { t.Reset(in.livenessTimeout) }
	}
	out, err := c.exchange(req, in, onData)
	if err == nil {
		return out, nil
	}
	if ctx.Err() != nil {
		c.reads.CloseIdleConnections()
	}
	kind := store.ErrUnavailable
	if in.isWrite() && maybeSent.Load() {
		kind = store.ErrUnknown
	}
	return response{}, fault.Wrap(fmt.Errorf("%w: %w", kind, err), fault.StepStore, in.target, strings.ToLower(in.method)+" object")
}

func (c *Client) exchange(req *http.Request, in call, onData func()) (response, error) {
	client := c.reads
	if in.isWrite() {
		client = c.writes
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	out := response{status: resp.StatusCode, header: resp.Header}
	if in.isWrite() {
		// The status alone determines the outcome of a write; a truncated body does not change it.
		out.body, _ = io.ReadAll(io.LimitReader(resp.Body, 1024))
		return out, nil
	}
	out.body, err = io.ReadAll(io.LimitReader(&notifyReader{resp.Body, onData}, in.limit+1))
	if err == nil && int64(len(out.body)) > in.limit {
		err = errors.New("response exceeds the size limit")
	}
	return out, err
}

// notifyReader calls onData after each read that returns data.
type notifyReader struct {
	r      io.Reader
	onData func()
}

func (r *notifyReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if n > 0 {
		r.onData()
	}
	return n, err
}

// statusError maps an error status to the errors of package store.
func statusError(in call, resp response) error {
	text := fmt.Sprintf("status %d: %.200s", resp.status, strings.TrimSpace(string(resp.body)))
	switch resp.status {
	case http.StatusNotFound:
		return fault.Wrap(store.ErrNotFound, fault.StepStore, in.target, text)
	case http.StatusPreconditionFailed:
		return fault.Wrap(store.ErrConflict, fault.StepStore, in.target, text)
	case http.StatusGone:
		return fault.Wrap(store.ErrCompacted, fault.StepStore, in.target, text)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fault.New(fault.StepStore, in.target, text)
	}
	if in.isWrite() && resp.header.Get(HeaderEffect) != EffectNone {
		return fault.Wrap(store.ErrUnknown, fault.StepStore, in.target, text)
	}
	return fault.Wrap(store.ErrUnavailable, fault.StepStore, in.target, text)
}

func (c *Client) object(method, key string) call {
	return call{method: method, path: "/v1/objects/" + (&url.URL{Path: key}).EscapedPath(), target: key, timeout: c.timeout, limit: store.MaxValueBytes}
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	in := c.object(http.MethodGet, key)
	resp, err := c.do(ctx, in)
	if err != nil {
		return store.Object{}, err
	}
	if resp.status != http.StatusOK {
		return store.Object{}, statusError(in, resp)
	}
	version, err := ParseETag(resp.header.Get("ETag"))
	if err != nil {
		return store.Object{}, fault.Wrap(fmt.Errorf("%w: %w", store.ErrUnavailable, err), fault.StepStore, key, "read version")
	}
	return store.Object{Key: key, Version: version, Value: resp.body}, nil
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if len(value) > store.MaxValueBytes {
		return 0, fault.Newf(fault.StepStore, key, "value of %d bytes is over the limit of %d", len(value), store.MaxValueBytes)
	}
	in := c.object(http.MethodPut, key)
	in.body, in.expect = value, &expect
	resp, err := c.do(ctx, in)
	if err != nil {
		return 0, err
	}
	if resp.status != http.StatusOK {
		return 0, statusError(in, resp)
	}
	version, err := ParseETag(resp.header.Get("ETag"))
	if err != nil {
		return 0, fault.Wrap(fmt.Errorf("%w: %w", store.ErrUnknown, err), fault.StepStore, key, "read version")
	}
	return version, nil
}

// Delete implements store.Store. It returns store.ErrNotFound if there is no object.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	in := c.object(http.MethodDelete, key)
	in.expect = &expect
	resp, err := c.do(ctx, in)
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return statusError(in, resp)
	}
	return nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	path := "/v1/objects?" + url.Values{"prefix": {prefix}}.Encode()
	return c.listing(ctx, call{method: http.MethodGet, path: path, target: prefix, timeout: c.timeout, limit: maxListingBytes})
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, since uint64, wait time.Duration) ([]store.Object, uint64, error) {
	path := "/v1/watch?" + url.Values{"since": {fmt.Sprint(since)}, "wait": {wait.String()}}.Encode()
	return c.listing(ctx, call{method: http.MethodGet, path: path, target: "watch", timeout: wait + c.timeout, livenessTimeout: max(watchLivenessTimeout, c.timeout), limit: maxListingBytes})
}

func (c *Client) listing(ctx context.Context, in call) ([]store.Object, uint64, error) {
	resp, err := c.do(ctx, in)
	if err != nil {
		return nil, 0, err
	}
	if resp.status != http.StatusOK {
		return nil, 0, statusError(in, resp)
	}
	var l Listing
	if err := json.Unmarshal(resp.body, &l); err != nil {
		return nil, 0, fault.Wrap(fmt.Errorf("%w: %w", store.ErrUnavailable, err), fault.StepStore, in.target, "decode listing")
	}
	return l.objects(), l.Revision, nil
}
