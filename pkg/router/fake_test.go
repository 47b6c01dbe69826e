package router_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/devcert"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/router"
	"github.com/hibiscuscross/hibiscuscross/pkg/routing"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport/quic"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

var authority = func() *devcert.Authority {
	a, err := devcert.NewAuthority()
	if err != nil {
		panic(err)
	}
	return a
}()

func newTransport(vm string) transport.Transport {
	cert, err := authority.Issue(vm)
	Expect(err).NotTo(HaveOccurred())
	return quic.New(cert, authority.Pool())
}

// call is one request's stream at a fake agent.
type call struct {
	*wire.Open
	conn transport.Conn
	st   transport.Stream
}

func (c *call) send(m wire.Message) { _ = wire.Write(c.st, m) }

func (c *call) head(contentType string) {
	c.send(&wire.Accept{Request: c.Request, Attempt: c.Attempt})
	c.send(&wire.Head{Request: c.Request, Attempt: c.Attempt, Status: 200, Header: []engine.Header{{Name: "Content-Type", Value: contentType}}})
}

func (c *call) data(offset int, s string) {
	c.send(&wire.Data{Request: c.Request, Attempt: c.Attempt, Offset: uint64(offset), Bytes: []byte(s)})
}

func (c *call) end(length int) {
	c.send(&wire.End{Request: c.Request, Attempt: c.Attempt, Outcome: wire.OutcomeDone, Length: uint64(length)})
}

func (c *call) refuse(o wire.Outcome, code wire.Code) {
	c.send(&wire.Refuse{Request: c.Request, Attempt: c.Attempt, Outcome: o, Code: code, Reason: "test"})
}

// answer sends a complete answer from the call's offset on.
func (c *call) answer(contentType, s string) {
	c.head(contentType)
	c.data(int(c.Offset), s[c.Offset:])
	c.end(len(s))
}

// fakeAgent is an agent that calls a function to answer each request.
type fakeAgent struct {
	vm       string
	listener transport.Listener
	mu       sync.Mutex
	opens    []*wire.Open
	remotes  []string
	// quarantine is the reply to QuarantineGet and does not change; received are the entries of the last query.
	quarantine, received []wire.QuarantineEntry
}

// newFakeAgent starts an agent with the given quarantine list.
func newFakeAgent(vm string, serve func(c *call), quarantined ...wire.QuarantineEntry) *fakeAgent {
	l, err := newTransport(vm).Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	a := &fakeAgent{vm: vm, listener: l, quarantine: quarantined}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := l.Accept(ctx)
			if err != nil {
				return
			}
			wg.Go(func() { a.serve(ctx, &wg, conn, serve) })
		}
	})
	DeferCleanup(func() { cancel(); _ = l.Close(); wg.Wait() })
	return a
}

func (a *fakeAgent) serve(ctx context.Context, wg *sync.WaitGroup, conn transport.Conn, serve func(c *call)) {
	for {
		st, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		wg.Go(func() {
			m, err := wire.NewReader(st).Next()
			if q, ok := m.(*wire.QuarantineGet); ok {
				a.mu.Lock()
				a.received = q.Entries
				a.mu.Unlock()
				_ = wire.Write(st, &wire.QuarantineList{Entries: a.quarantine})
			}
			open, ok := m.(*wire.Open)
			if err != nil || !ok {
				return
			}
			a.mu.Lock()
			a.opens = append(a.opens, open)
			a.remotes = append(a.remotes, conn.RemoteAddr())
			a.mu.Unlock()
			serve(&call{Open: open, conn: conn, st: st})
		})
	}
}

func (a *fakeAgent) calls() []*wire.Open {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*wire.Open(nil), a.opens...)
}

func (a *fakeAgent) receivedEntries() []wire.QuarantineEntry {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.received
}

func (a *fakeAgent) remoteAddrs() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.remotes...)
}

const livenessTimeout = 300 * time.Millisecond

// newRouter returns a router to the agents, all of which have a grant for model m. The first owns all key slots of
// service s and is the only one in the router's zone, so it is preferred.
func newRouter(o router.Options, agents ...*fakeAgent) *router.Router {
	pool := transport.NewPool(newTransport("vm-router"))
	DeferCleanup(pool.Close)
	o.Region, o.Zone, o.LivenessTimeout = "r", "0", livenessTimeout
	r := router.New(pool, o)
	v := routing.View{Grants: map[string]grant.Object{}, Owners: map[string]once.Owners{}}
	var g grant.Object
	var own once.Owners
	for i, a := range agents {
		v.Upstreams = append(v.Upstreams, routing.Upstream{VM: a.vm, Addr: a.listener.Addr(), Region: "r", Zone: fmt.Sprint(min(i, 1)), Group: "g"})
		g.Grants = append(g.Grants, grant.Grant{VM: a.vm})
	}
	for i := range own.Slots {
		own.Slots[i].Owner = agents[0].vm
	}
	v.Grants["m"], v.Owners["s"] = g, own
	r.SetView(v)
	return r
}

func modelRequest(id string) *router.Request {
	return &router.Request{
		ID: id, Kind: wire.KindModel, Caller: "c", Service: "s", Group: "g", Target: engine.Target{Model: "m"}, Method: "POST",
		Path: "/v1/chat/completions", Body: []byte(`{"model":"m"}`), Deadline: time.Now().Add(5 * time.Second), Ceiling: 3,
	}
}

func keyedRequest(id string) *router.Request {
	r := modelRequest(id)
	r.Kind, r.Target, r.NonIdempotent, r.FirstSend, r.Key = wire.KindPlain, engine.Target{}, true, true, id
	return r
}

// recorder is a sink that records the answer.
type recorder struct {
	heads    int
	complete bool
	body     strings.Builder
}

func (r *recorder) Head(_ engine.Head, complete bool) error {
	r.heads++
	r.complete = complete
	return nil
}
func (r *recorder) Data(b []byte) error { _, _ = r.body.Write(b); return nil }

const (
	eventStream = "text/event-stream"
	plainText   = "text/plain"
)

// token returns a stream event with the text s.
func token(id, s string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q},\"index\":0}],\"id\":%q}\n\n", s, id)
}

const endMarker = "data: [DONE]\n\n"
