package agent

import (
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// attempt sets the number and the offset of a request's attempt. Attempts after the first one are resumes.
func attempt(o *wire.Open, n uint32, offset int) *wire.Open {
	o.Attempt, o.Resume, o.Offset = n, n > 1, uint64(offset)
	return o
}

var _ = Describe("an agent on the loopback interface", func() {
	var h *harness

	Context("beside a model engine", func() {
		BeforeEach(func() { h = newHarness("g") })

		// Guards against truncated answers, a missing length, and routers that treat a slow start as a lost connection.
		It("sends the complete answer and heartbeats meanwhile", func() {
			e := h.send(h.dial(), attempt(prompt("a", "m"), 1, 0))
			Eventually(func() []engine.Call { s, _ := h.engine.calls(); return s }, "5s").Should(HaveLen(1))
			_, err := e.rd.Next() // Accept
			Expect(err).NotTo(HaveOccurred())
			h.engine.send("hello ")
			e.until(6)
			m, err := e.rd.Next()
			Expect(err).NotTo(HaveOccurred())
			Expect(m).To(BeAssignableToTypeOf(&wire.Ping{}))
			h.engine.send("world")
			h.engine.fail(io.EOF)
			Expect(e.end()).To(And(HaveField("Outcome", wire.OutcomeDone), HaveField("Length", uint64(11))))
			Expect(e.body).To(Equal("hello world"))
		})

		// Guards against a run that ends or starts again when the router's connection is lost.
		It("continues the call without the connection and resumes the answer at the offset", func() {
			first := h.dial()
			e := h.send(first, attempt(prompt("a", "m"), 1, 0))
			h.engine.send("one ")
			e.until(4)
			Expect(first.Close()).To(Succeed())
			h.engine.send("two ")
			again := h.send(h.dial(), attempt(prompt("a", "m"), 2, 4))
			again.body = "one "
			again.until(8)
			h.engine.fail(io.EOF)
			Expect(again.end()).To(HaveField("Length", uint64(8)))
			Expect(again.body).To(Equal("one two "))
			starts, resumes := h.engine.calls()
			Expect(starts).To(HaveLen(1))
			Expect(resumes).To(BeEmpty())
		})

		// Guards against two streams of one request that both deliver the answer.
		It("ends the older stream of a request", func() {
			c := h.dial()
			old := h.send(c, attempt(prompt("a", "m"), 1, 0))
			h.engine.send("x")
			old.until(1)
			newer := h.send(c, attempt(prompt("a", "m"), 2, 0))
			newer.until(1)
			_, err := old.next()
			Expect(err).To(HaveOccurred())
			h.engine.fail(io.EOF)
			newer.end()
		})

		// Guards against an answer that ends when the connection to the upstream becomes unresponsive.
		It("resumes at the upstream after an unresponsive connection", func() {
			e := h.send(h.dial(), attempt(prompt("a", "m"), 1, 0))
			h.engine.send("abc")
			h.engine.fail(engine.ErrUnresponsive)
			h.engine.send("def")
			h.engine.fail(io.EOF)
			Expect(e.end()).To(HaveField("Outcome", wire.OutcomeDone))
			Expect(e.body).To(Equal("abcdef"))
			_, resumes := h.engine.calls()
			Expect(resumes).To(HaveLen(1))
			Expect(resumes[0].Offset).To(Equal(uint64(3)))
		})

		// Guards against a request that is lost with the upstream's process.
		It("runs the call again after the upstream process ended", func() {
			c := h.dial()
			e := h.send(c, attempt(prompt("a", "m"), 1, 0))
			other := h.send(c, attempt(prompt("b", "m"), 1, 0))
			Eventually(func() []engine.Call { s, _ := h.engine.calls(); return s }, "5s").Should(HaveLen(2))
			h.engine.restart("e2")
			Eventually(func() []engine.Call { s, _ := h.engine.calls(); return s }, "5s").Should(HaveLen(3))
			h.engine.send("again")
			h.engine.fail(io.EOF)
			Eventually(func() []engine.Call { s, _ := h.engine.calls(); return s }, "5s").Should(HaveLen(4))
			h.engine.send("again")
			h.engine.fail(io.EOF)
			for _, x := range []*exchange{e, other} {
				Expect(x.end()).To(HaveField("Outcome", wire.OutcomeDone))
				Expect(x.body).To(Equal("again"))
			}
		})

		// Guards against an answer larger than the buffer that is truncated or kept in memory as a whole.
		It("delivers answers larger than its buffer", func() {
			e := h.send(h.dial(), attempt(prompt("a", "m"), 1, 0))
			block := strings.Repeat("x", 100<<10)
			go func() {
				for range 30 {
					h.engine.send(block)
				}
				h.engine.fail(io.EOF)
			}()
			Expect(e.end()).To(HaveField("Length", uint64(30*100<<10)))
			Expect(e.body).To(HaveLen(30 * 100 << 10))
		})

		// Guards against a call that continues after its caller has disconnected.
		It("cancels the call when the router sends Cancel", func() {
			e := h.send(h.dial(), attempt(prompt("a", "m"), 1, 0))
			h.engine.send("x")
			e.until(1)
			Expect(wire.Write(e.st, &wire.Cancel{Request: "a"})).To(Succeed())
			Eventually(h.engine.ended, "5s").Should(Receive())
		})

		// Guards against peers that cannot get the configuration, the store's objects, the quarantine list or a load permit
		// from this agent.
		It("replies to other processes", func() {
			c := h.dial()
			m, err := h.send(c, &wire.ConfigGet{}).next()
			Expect(err).NotTo(HaveOccurred())
			Expect(m).To(HaveField("Version", uint64(1)))
			m, err = h.send(c, &wire.ConfigGet{Have: 1}).next()
			Expect(err).NotTo(HaveOccurred())
			Expect(m).To(HaveField("Document", BeEmpty()))
			Eventually(func() wire.Message { m, _ := h.send(c, &wire.ObjectsGet{}).next(); return m }, "5s").Should(HaveField("Objects", ContainElement(HaveField("Key", "upstreams/vm-a"))))
			bad := []wire.QuarantineEntry{{Fingerprint: fingerprint(prompt("bad", "m")), UnixMS: 1, Reason: "x"}}
			_, err = h.send(c, &wire.QuarantineGet{Entries: bad}).next()
			Expect(err).NotTo(HaveOccurred())
			Eventually(func() []wire.QuarantineEntry {
				m, err := h.send(c, &wire.QuarantineGet{}).next()
				Expect(err).NotTo(HaveOccurred())
				return m.(*wire.QuarantineList).Entries
			}, "5s").Should(Equal(bad))
			Expect(h.send(c, attempt(prompt("bad", "m"), 1, 0)).end()).To(HaveField("Code", wire.CodeQuarantined))
			Eventually(func() string { return h.status(c) }, "5s").Should(ContainSubstring(`"quarantined":1`))
			permit := h.send(c, &wire.LoadPermitRequest{ID: "p1", VM: "vm-r", Model: "m", Bytes: 1, TimeoutMS: 1000})
			m, err = permit.next()
			Expect(err).NotTo(HaveOccurred())
			Expect(m).To(Equal(&wire.LoadPermit{ID: "p1"}))
			Expect(wire.Write(permit.st, &wire.LoadPermitRelease{ID: "p1"})).To(Succeed())
			_, err = permit.next()
			Expect(err).To(HaveOccurred()) // the stream has ended
		})
	})

	Context("among other processes", func() {
		BeforeEach(func() { h = newHarness("g") })

		// Guards against an agent that does not get the quarantine list during an outage of the store.
		It("fetches a differing quarantine list over the connection that the router opened", func() {
			c := h.dial()
			o := attempt(prompt("a", "m"), 1, 0)
			o.Sync.QuarantineHash = 5
			h.send(c, o)
			st, err := c.AcceptStream(h.ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(wire.NewReader(st).Next()).To(BeAssignableToTypeOf(&wire.QuarantineGet{}))
			Expect(wire.Write(st, &wire.QuarantineList{Entries: []wire.QuarantineEntry{{Fingerprint: 7, UnixMS: 1, Reason: "x"}}})).To(Succeed())
			Eventually(func() string { return h.status(c) }, "5s").Should(ContainSubstring(`"quarantined":1`))
		})

		// Guards against a load permit that stays issued after its load has ended.
		It("requests a load permit from a coordinator and releases it", func() {
			l, err := h.client.Listen("127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			h.agent.requestPermit(RequestPermit{Addr: l.Addr(), Request: wire.LoadPermitRequest{ID: "p", VM: "vm-a"}})
			c, err := l.Accept(h.ctx)
			Expect(err).NotTo(HaveOccurred())
			st, err := c.AcceptStream(h.ctx)
			Expect(err).NotTo(HaveOccurred())
			rd := wire.NewReader(st)
			Expect(rd.Next()).To(HaveField("ID", "p"))
			Expect(wire.Write(st, &wire.LoadPermit{ID: "p"})).To(Succeed())
			h.agent.executePeer(ReleasePermit{ID: "p"})
			Expect(rd.Next()).To(Equal(&wire.LoadPermitRelease{ID: "p"}))
			Expect(st.CloseWrite()).To(Succeed())
		})
	})

	Context("beside a plain service", func() {
		BeforeEach(func() {
			h = newHarness("p")
			c := h.dial()
			Eventually(func() string { return h.status(c) }, "10s").Should(ContainSubstring(`"keySlots":{"loans":64}`))
		})

		// Guards against a second run of a loan that is sent again over another connection, during or after the first run.
		It("runs a keyed call once", func() {
			key := keyAt(time.Now(), 1)
			first := h.send(h.dial(), attempt(loan("a", key), 1, 0))
			second := h.send(h.dial(), attempt(loan("b", key), 1, 0))
			h.engine.send("made")
			h.engine.fail(io.EOF)
			third := func() *exchange { return h.send(h.dial(), attempt(loan("c", key), 1, 0)) }
			for _, e := range []*exchange{first, second, third()} {
				Expect(e.end()).To(HaveField("Outcome", wire.OutcomeDone))
				Expect(e.body).To(Equal("made"))
			}
			starts, _ := h.engine.calls()
			Expect(starts).To(HaveLen(1))
		})

		// Guards against a loan that is sent again or reported as not run after its answer was lost.
		It("reports a lost answer as unknown", func() {
			key := keyAt(time.Now(), 1)
			h.engine.fail(engine.ErrUnknown)
			for _, id := range []string{"a", "b"} {
				m := h.send(h.dial(), attempt(loan(id, key), 1, 0)).end()
				Expect(m).To(HaveField("Outcome", wire.OutcomeUnknown))
			}
			starts, resumes := h.engine.calls()
			Expect(starts).To(HaveLen(1))
			Expect(resumes).To(BeEmpty())
		})

		// Guards against a planned termination that interrupts a call or keeps the key slots.
		It("completes the drain after the running call", func() {
			e := h.send(h.dial(), attempt(loan("a", keyAt(time.Now(), 1)), 1, 0))
			Eventually(func() []engine.Call { s, _ := h.engine.calls(); return s }, "5s").Should(HaveLen(1))
			Expect(h.agent.Drain(h.ctx, false)).To(Succeed())
			Expect(h.send(h.dial(), attempt(lookup("b"), 1, 0)).end()).To(HaveField("Code", wire.CodeDraining))
			Expect(h.agent.Drained()).NotTo(BeClosed())
			h.engine.send("made")
			h.engine.fail(io.EOF)
			Expect(e.end()).To(HaveField("Outcome", wire.OutcomeDone))
			Eventually(h.agent.Drained(), "15s").Should(BeClosed())
		})
	})
})
