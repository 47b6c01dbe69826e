package sidecar_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/quota"
	"github.com/hibiscuscross/hibiscuscross/pkg/sidecar"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// leaseStore is a store of lease objects that may lose answers.
type leaseStore struct {
	mu            sync.Mutex
	objects       map[string]platform.Object
	revision      uint64
	lose          int // number of writes that take effect without an answer
	reads, writes int
}

func (s *leaseStore) List(context.Context, string) ([]platform.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var out []platform.Object
	for _, o := range s.objects {
		out = append(out, o)
	}
	return out, s.revision, nil
}

func (s *leaseStore) Era() uint64 { return 0 }

func (s *leaseStore) WriteIf(_ context.Context, _, name string, spec any, expect uint64) (uint64, platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if current := s.objects[name]; current.Revision != expect {
		return 0, current, store.ErrConflict
	}
	raw, err := json.Marshal(spec)
	if err != nil {
		return 0, platform.Object{}, err
	}
	s.revision++
	s.objects[name] = platform.Object{Name: name, Revision: s.revision, Spec: raw}
	if s.lose > 0 {
		s.lose--
		return 0, platform.Object{}, errors.New("no answer")
	}
	return s.revision, platform.Object{}, nil
}

// TestQuotaLeases checks the calls of a candidate that a fault of the store meets, and of a process that is none.
func TestQuotaLeases(t *testing.T) {
	limited := catalog.Tenant{Name: "t", Rate: 100, Burst: 100}
	object := fmt.Sprint(quota.ShardOf("t"))
	for _, c := range []struct {
		name        string
		lose        int
		stored      map[string]platform.Object
		others      int // further upstreams
		holds, idle bool
		unlisted    bool // the sidecar's own engine is not listed
	}{
		{name: "holds the shard of a limited tenant", holds: true},
		// Guards against a process that waits for the end of a lease that it holds itself.
		{name: "recognizes its own write without an answer", lose: 1, holds: true},
		// Guards against a holder that does not know what the previous one granted.
		{name: "does not take over an object that cannot be decoded", stored: map[string]platform.Object{object: {Name: object, Revision: 1, Spec: []byte(`7`)}}},
		// Guards against store calls that grow with the number of upstreams.
		{name: "makes one read and no other call if it is not a candidate", others: 2000, idle: true},
		// Guards against a holder that no router can find: for 8 s no tokens were granted (vanstops-now-grown, trouble-1).
		{name: "takes nothing back if its engine is not listed", unlisted: true,
			stored: map[string]platform.Object{object: {Name: object, Revision: 1, Spec: []byte(`{"node":"side-1"}`)}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &leaseStore{objects: map[string]platform.Object{}, lose: c.lose}
			for name, o := range c.stored {
				s.objects[name], s.revision = o, o.Revision
			}
			socket, err := peer.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			router, err := peer.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			log := eventlog.New(io.Discard, "sidecar", "side-1")
			agent := sidecar.New(sidecar.Settings{Node: "side-1", Address: address, Service: "llm"}, &engine{reportErr: errors.New("no report")}, socket, log, guard.New(log))
			agent.EnableQuotas(s, s, 0, tally.NoopScope)
			config, upstreams := testConfig(), []catalog.Upstream{{ID: "i-1", Service: "llm", Address: address}}
			if c.unlisted {
				upstreams[0].Address = "10.0.0.9:1"
			}
			config.SetTenants([]catalog.Tenant{limited})
			for i := range c.others {
				upstreams = append(upstreams, catalog.Upstream{ID: fmt.Sprint(i), Service: "llm", Address: fmt.Sprint("10.0.0.1:", i)})
			}
			agent.Configure(config, 1)
			agent.SetUpstreams(upstreams)
			ctx, cancel := context.WithCancel(context.Background())
			announced := make(chan quota.Announcement, 100)
			var wg sync.WaitGroup
			wg.Go(func() { _ = agent.Receive(ctx) })
			wg.Go(func() {
				_ = router.Receive(ctx, func(_ netip.AddrPort, m peer.Message) { announced <- m.Report.Quotas[0] }, func(netip.AddrPort, error) {})
			})
			if err := router.Send(socket.Address(), peer.Message{Demand: &peer.Demand{Router: "edge-1"}}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond) // the router is known
			wg.Go(func() { agent.RunQuotas(ctx) })
			select {
			case a := <-announced:
				if !c.holds || a.Epoch != 1 || a.Shard != quota.ShardOf("t") {
					t.Errorf("announced %+v", a)
				}
			case <-time.After(800 * time.Millisecond):
				if c.holds {
					t.Error("not announced")
				}
			}
			cancel()
			wg.Wait()
			// A process that is no candidate reads once, to find a lease of an earlier process on its VM, and never again.
			if c.idle && (s.reads != 1 || s.writes > 0) || !c.holds && s.writes > 0 || c.holds && !json.Valid(s.objects[object].Spec) {
				t.Errorf("%d reads, %d writes", s.reads, s.writes)
			}
			var spec quota.LeaseSpec
			if err := json.Unmarshal(s.objects[object].Spec, &spec); c.holds && (err != nil || !spec.State.Released) {
				t.Errorf("not released at the stop: %s, %v", s.objects[object].Spec, err)
			}
		})
	}
}
