// Package httplist provides the module "vmlist.http", which reads the platform's VM list over HTTP. GET /v1/vms returns
// {"vms": [...]}, with entries as in vmlist.VM, and an ETag. With If-None-Match it returns 304 while the list is
// unchanged: reading the complete list of 1,220 VMs every 2 s would exceed the 4 KB/s that a process may use.
package httplist

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

// ID is the module's id.
const ID = "vmlist.http"

// DefaultTimeout bounds a read. It is shorter than vmlist.PollInterval, so that an unresponsive connection costs one
// poll.
const DefaultTimeout = 1500 * time.Millisecond

// maxBytes bounds the size of the list; an entry takes about 120 bytes.
const maxBytes = 16 << 20

func init() {
	kernel.Register(ID, func() kernel.Module { return new(Client) })
}

// Client reads the VM list over HTTP.
type Client struct {
	base      string
	timeout   time.Duration
	transport *http.Transport
	http      *http.Client

	mu   sync.Mutex
	etag string // ETag of last; empty before the first read
	last []vmlist.VM
}

var _ vmlist.Lister = (*Client)(nil)

// Document is the body of the response to GET /v1/vms.
type Document struct {
	VMs []vmlist.VM `json:"vms"`
}

// Provision reads the settings url and timeout, a duration that defaults to DefaultTimeout.
func (c *Client) Provision(_ context.Context, s kernel.Settings) error {
	c.base = s.TakeURL()
	timeout, err := s.TakeDuration(ID, "timeout", DefaultTimeout)
	if err != nil {
		return err
	}
	c.timeout = timeout
	c.transport = &http.Transport{
		DialContext:     (&net.Dialer{Timeout: timeout}).DialContext,
		IdleConnTimeout: 30 * time.Second,
	}
	c.http = &http.Client{Transport: h1.Transport{Transport: c.transport}}
	return nil
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
	c.transport.CloseIdleConnections()
	return nil
}

// List implements vmlist.Lister. After a timeout it closes idle connections, so that the next read opens a new one.
func (c *Client) List(ctx context.Context) ([]vmlist.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	vms, err := c.read(ctx)
	if err != nil && ctx.Err() != nil {
		c.transport.CloseIdleConnections()
	}
	return vms, fault.Wrap(err, fault.StepVMList, c.base, "read VM list")
}

func (c *Client) read(ctx context.Context) ([]vmlist.VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/vms", nil)
	if err != nil {
		return nil, err
	}
	etag, last := c.cached()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && etag != "" {
		return last, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New(fault.StepVMList, "", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	if err != nil {
		return nil, err
	}
	vms, err := decode(body)
	if err == nil {
		c.updateCache(resp.Header.Get("ETag"), vms)
	}
	return vms, err
}

func (c *Client) cached() (string, []vmlist.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, slices.Clone(c.last)
}

func (c *Client) updateCache(etag string, vms []vmlist.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.last = etag, slices.Clone(vms)
}

// decode rejects a document without the list, and entries without an id or with an unknown state: a malformed list must
// not be mistaken for one without some VMs.
func decode(body []byte) ([]vmlist.VM, error) {
	var d Document
	if err := json.Unmarshal(body, &d); err != nil {
		return nil, err
	}
	if d.VMs == nil {
		return nil, fault.New(fault.StepVMList, "", "field vms is missing")
	}
	for _, vm := range d.VMs {
		if vm.ID == "" || (vm.State != vmlist.StateLive && vm.State != vmlist.StateLeaving) {
			return nil, fault.Newf(fault.StepVMList, vm.ID, "malformed entry with state %q", vm.State)
		}
	}
	return d.VMs, nil
}
