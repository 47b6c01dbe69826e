package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/gateway"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/sidecar"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Guards against requests beyond the rate that an upstream takes from all routers together.
var _ = Describe("an upstream that names the requests per second that it takes", func() {
	const (
		perS = 1.1
		span = 4 * time.Second
		// settle is the time after which a router that has passed on such an answer counts.
		settle = 500 * time.Millisecond
	)

	It("gets no more of them than allowed from several routers without an agent", func() {
		var mu sync.Mutex
		var first time.Time
		arrivals := 0
		serve := func(w http.ResponseWriter, req *http.Request) {
			mu.Lock()
			now := time.Now()
			if first.IsZero() {
				first = now
			}
			if since := now.Sub(first); since >= settle && since < settle+span {
				arrivals++
			}
			mu.Unlock()
			sign(w, req)
			standin.SetLimit(w.Header(), perS)
		}
		rigs := []*rig{newRig(), newRig(), newRig(), newRig()}
		for _, r := range rigs {
			r.configure()
			r.upstream("u1", "plain", nil, serve)
		}
		var wg sync.WaitGroup
		statuses := make(chan int, 1000)
		for _, r := range rigs {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				for start := time.Now(); time.Since(start) < settle+span; time.Sleep(50 * time.Millisecond) {
					resp, _, err := r.call(http.MethodPost, "/post/a")
					Expect(err).NotTo(HaveOccurred())
					statuses <- resp.StatusCode
				}
			}()
		}
		wg.Wait()
		close(statuses)
		for status := range statuses {
			Expect(status).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
		}
		Expect(float64(arrivals)).To(BeNumerically("<=", 1.5*perS*span.Seconds()+5))
	})

	// limited adds an upstream whose answers name the limit while names returns true, and returns the number of arrivals.
	limited := func(r *rig, id string, perS float64, names func(n int32) bool) *atomic.Int32 {
		var arrivals atomic.Int32
		r.upstream(id, "plain", nil, func(w http.ResponseWriter, req *http.Request) {
			sign(w, req)
			if names(arrivals.Add(1)) {
				standin.SetLimit(w.Header(), perS)
			}
		})
		return &arrivals
	}
	always := func(int32) bool { return true }

	It("makes the callers that only it could serve come back, within a third of their time", func() {
		r := newRig()
		r.configure()
		arrivals := limited(r, "u1", 0.1, always)
		for i := range 5 {
			resp, _, err := r.call(http.MethodGet, "/get/a")
			Expect(err).NotTo(HaveOccurred())
			if i == 0 {
				Expect(resp.StatusCode).To(Equal(http.StatusOK))
				continue
			}
			Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(And(BeNumerically(">", 0), BeNumerically("<=", 1.67)))
		}
		Expect(arrivals.Load()).To(BeEquivalentTo(1))
	})

	It("leaves its requests to others that serve them, without a wait", func() {
		r := newRig()
		r.configure()
		limited(r, "u1", 0.1, always)
		limited(r, "u2", 0.1, func(int32) bool { return false })
		for range 20 {
			start := time.Now()
			resp, _, err := r.call(http.MethodPost, "/post/a")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		}
	})

	// agent connects the routers with the sidecar of an engine, which keeps the limits of plain upstreams.
	agent := func(rigs ...*rig) {
		listen := func() *peer.Socket {
			socket, err := peer.Listen("127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			return socket
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		DeferCleanup(func() { cancel(); wg.Wait() })
		self := catalog.Upstream{ID: "e1", Service: "llm", Address: "127.0.0.1:9", Zone: "z1", StartedUnixMS: 5}
		socket := listen()
		a := sidecar.New(sidecar.Settings{Node: "side-1", Address: self.Address, Service: "llm"}, promptEngine{self: self}, socket, discard, guard.New(discard))
		a.Configure(rigs[0].configure(), 1)
		a.SetUpstreams([]catalog.Upstream{self, {ID: "u1", Service: "plain", Address: "127.0.0.1:10"}})
		for i, r := range rigs {
			r.core.Update(func(s *dispatch.State) { s.Fleet.Put(time.Now(), self) })
			peers := gateway.NewPeers(r.core, listen(), discard, guard.New(discard), gateway.Location{Router: fmt.Sprint("edge-", i)}, int(socket.Address().Port()), func(bool) {})
			peers.SetLimits(r.limits)
			wg.Go(func() { _ = peers.Run(ctx) })
		}
		wg.Go(func() { a.Run(ctx) })
		wg.Go(func() { _ = a.Receive(ctx) })
	}

	It("gets what it takes, from several routers with an agent", func() {
		var rigs []*rig
		for i := range 4 {
			rigs = append(rigs, newNamedRig(fmt.Sprint("edge-", i)))
			rigs[i].configure()
		}
		agent(rigs...)
		const perS, span = 5.0, 4 * time.Second
		var arrivals atomic.Int32
		var from atomic.Int64
		for _, r := range rigs {
			r.upstream("u1", "plain", nil, func(w http.ResponseWriter, req *http.Request) {
				if at := from.Load(); at != 0 && time.Now().UnixNano() > at {
					arrivals.Add(1)
				}
				sign(w, req)
				standin.SetLimit(w.Header(), perS)
			})
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for _, r := range rigs {
			for range 3 {
				wg.Go(func() {
					defer GinkgoRecover()
					for ctx.Err() == nil {
						_, _, err := r.call(http.MethodGet, "/get/a")
						Expect(err).NotTo(HaveOccurred())
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
		}
		time.Sleep(span) // for which the limit settles
		from.Store(time.Now().UnixNano())
		time.Sleep(span)
		n := float64(arrivals.Load())
		cancel()
		wg.Wait()
		GinkgoWriter.Println("arrivals in the span:", n)
		Expect(n).To(BeNumerically("<=", 1.5*perS*span.Seconds()+5))
		Expect(n).To(BeNumerically(">=", 0.8*perS*span.Seconds()))
	})

	It("gets all requests again some time after it has stopped naming it", func() {
		r := newRig()
		r.configure()
		agent(r)
		limited(r, "u1", 2, func(n int32) bool { return n <= 2 })
		served := func() int {
			n := 0
			for range 20 {
				resp, _, err := r.call(http.MethodGet, "/get/a")
				Expect(err).NotTo(HaveOccurred())
				if resp.StatusCode != http.StatusOK {
					break
				}
				n++
			}
			return n
		}
		start := time.Now()
		for time.Since(start) < 12*time.Second {
			served()
		}
		start = time.Now()
		Expect(served()).To(Equal(20))
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	})
})
