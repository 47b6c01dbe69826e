package sidecar_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

// restartEngine makes the engine report a start that the list of upstreams does not name, so that the agent queries its
// health check, which answers as instance does.
func (f *fixture) restartEngine(instance func(context.Context) (string, error)) {
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	f.engine.self.StartedUnixMS, f.engine.instance = 6, instance
}

func isRestarted(r peer.Report) bool { return r.ID == "i-2" && r.StartedUnixMS == 6 }

var _ = Describe("query for the engine's id", func() {
	// Guards against an agent that waits without limit for a health check whose reply is lost: it sent neither orders nor
	// reports any more, and the engine stayed empty.
	It("is repeated after a reply was lost", func() {
		f := newFixture()
		var queries atomic.Int32
		f.restartEngine(func(ctx context.Context) (string, error) {
			if queries.Add(1) == 1 {
				<-ctx.Done()
				return "", ctx.Err()
			}
			return "i-2", nil
		})
		f.agent.SetToken(41)
		f.requestLoad("a")
		Eventually(f.reports, "3s").Should(Receive(Satisfy(isRestarted)))
		f.agent.SetUpstreams([]catalog.Upstream{{ID: "i-2", Service: "llm", Address: address, StartedUnixMS: 6}})
		Eventually(f.engine.acceptedOrders, "1s").Should(HaveLen(1))
	})

	// Guards against loads of another service's models: the address of an engine that has ended may have been given to one of
	// another service, which only the list tells.
	It("brings no orders while the list does not name the engine", func() {
		f := startReusing(newEngine(), true, 0)
		f.restartEngine(func(context.Context) (string, error) { return "i-2", nil })
		f.agent.SetToken(41)
		f.requestLoad("a")
		Eventually(f.reports, "3s").Should(Receive(Satisfy(isRestarted)))
		f.requestLoad("a")
		Consistently(f.engine.acceptedOrders, "500ms").Should(BeEmpty())
		f.agent.SetUpstreams([]catalog.Upstream{{ID: "i-2", Service: "other", Address: address, StartedUnixMS: 6}})
		f.requestLoad("a")
		Consistently(f.engine.acceptedOrders, "500ms").Should(BeEmpty())
		f.agent.SetUpstreams([]catalog.Upstream{{ID: "i-2", Service: "llm", Address: address, StartedUnixMS: 6}})
		f.requestLoad("a")
		Eventually(f.engine.acceptedOrders, "1s").Should(HaveLen(1))
	})

	// Guards against loads of another service's models, ordered because the engine has the id of its predecessor.
	It("brings no orders while the list names only a predecessor under the same id", func() {
		f := startReusing(newEngine(), true, 0)
		f.restartEngine(func(context.Context) (string, error) { return "i-1", nil })
		f.agent.SetToken(41)
		f.requestLoad("a")
		isRestartedAlike := func(r peer.Report) bool { return r.ID == "i-1" && r.StartedUnixMS == 6 && r.Service == "" }
		Eventually(f.reports, "3s").Should(Receive(Satisfy(isRestartedAlike)))
		f.requestLoad("a")
		Consistently(f.engine.acceptedOrders, "500ms").Should(BeEmpty())
		f.agent.SetUpstreams([]catalog.Upstream{{ID: "i-1", Service: "llm", Address: address, StartedUnixMS: 6}})
		f.requestLoad("a")
		Eventually(f.engine.acceptedOrders, "1s").Should(HaveLen(1))
	})

	// Guards against engines without work until their entry is read, up to 1.5 s after a loss of power: the address of one that
	// has ended is not given to another service at once.
	It("brings orders at once after a restart that is shorter than the time until the address is reused", func() {
		f := startReusing(newEngine(), true, time.Minute)
		f.requestLoad("a")
		Eventually(f.reports, "3s").Should(Receive(Satisfy(func(r peer.Report) bool { return r.ID == "i-1" && r.Service == "llm" })))
		f.restartEngine(func(context.Context) (string, error) { return "i-2", nil })
		f.agent.SetToken(41)
		f.requestLoad("a")
		isKnown := func(r peer.Report) bool { return isRestarted(r) && r.Service == "llm" }
		Eventually(f.reports, "3s").Should(Receive(Satisfy(isKnown)))
		f.requestLoad("a")
		Eventually(f.engine.acceptedOrders, "1s").Should(HaveLen(1))
	})

	// Guards against engines without work while the agent waits between two reads of a list that names them already.
	It("has the list read at once while that does not name the engine", func() {
		f := startReusing(newEngine(), true, 0)
		Consistently(f.agent.ListWanted(), "400ms").ShouldNot(Receive(), "the list names the engine")
		f.restartEngine(func(context.Context) (string, error) { return "i-2", nil })
		Eventually(f.agent.ListWanted(), "1s").Should(Receive())
		f.requestLoad("a")
		f.agent.SetUpstreams([]catalog.Upstream{{ID: "i-2", Service: "llm", Address: address, StartedUnixMS: 6}})
		Eventually(f.reports, "1s").Should(Receive(Satisfy(func(r peer.Report) bool { return isRestarted(r) && r.Service == "llm" })))
		select { // a request from before the entry was read
		case <-f.agent.ListWanted():
		default:
		}
		Consistently(f.agent.ListWanted(), "400ms").ShouldNot(Receive())
	})

	// Guards against health checks that delay orders and reports: one waits for a slot of the engine like a request.
	It("does not delay reports once the list contains the engine", func() {
		f := newFixture("a")
		queried, release := make(chan struct{}, 1), make(chan struct{})
		f.restartEngine(func(ctx context.Context) (string, error) {
			select {
			case queried <- struct{}{}:
			default:
			}
			select {
			case <-release:
			case <-ctx.Done():
			}
			return "i-2", ctx.Err()
		})
		DeferCleanup(func() { close(release) })
		Eventually(queried, "1s").Should(Receive())
		f.agent.SetUpstreams([]catalog.Upstream{{ID: "i-2", Service: "llm", Address: address, StartedUnixMS: 6}})
		f.requestLoad("a")
		Eventually(f.reports, 500*time.Millisecond).Should(Receive(Satisfy(isRestarted)))
	})
})
