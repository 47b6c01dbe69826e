package promptqueue_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/promptqueue"
)

func TestPromptqueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "promptqueue")
}

const (
	ms        = time.Millisecond
	fastSpeed = 44.2 // tokens per ms
	slowSpeed = 22.1
)

func id(seq int) promptqueue.ID { return promptqueue.ID{Router: "edge-1", Epoch: 1, Seq: uint64(seq)} }

func at(d time.Duration) time.Time { return start.Add(d) }

var _ = Describe("prompts from many routers that meet at one engine", func() {
	// The load of deployment C: prompts of 9,190 uncached tokens, 208 ms of prefill, or 416 ms at a slow engine.
	burst := func(speed float64, n int, oneWay time.Duration, admission bool) *world {
		w := newWorld(speed, admission)
		w.oneWay = oneWay
		for i := range n {
			w.add(500*ms+time.Duration(i)*7*ms, simulated{Prompt: promptqueue.Prompt{Tokens: 9190, Output: 200}})
		}
		w.run(6 * time.Second)
		return w
	}

	It("delay the events of its streams too long without the admission", func() {
		Expect(burst(fastSpeed, 8, ms, false).pause).To(BeNumerically(">", 500*ms))
	})

	// Guards against streams that pause beyond the bound, and against admissions that make prompts late.
	DescribeTable("are admitted so that no event is too late", func(speed float64, n int, oneWay time.Duration) {
		w := burst(speed, n, oneWay, true)
		Expect(w.pause).To(BeNumerically("<=", 500*ms))
		for _, p := range w.prompts {
			Expect(p.rejected).To(BeFalse())
			Expect(p.first - p.arrival).To(And(BeNumerically(">", 0), BeNumerically("<=", target)))
		}
	}, Entry("from other regions at a fast engine", fastSpeed, 8, 12*ms), Entry("from other regions at a slow engine", slowSpeed, 5, 12*ms),
		Entry("from the same zone at a fast engine", fastSpeed, 8, ms), Entry("from the same zone at a slow engine", slowSpeed, 5, ms))

	It("are rejected at once if they cannot be admitted in time", func() {
		w := burst(slowSpeed, 12, 12*ms, true)
		Expect(w.pause).To(BeNumerically("<=", 500*ms))
		rejected := 0
		for _, p := range w.prompts {
			if p.rejected {
				rejected++
				Expect(p.sent).To(BeZero())
			} else {
				Expect(p.first - p.arrival).To(BeNumerically("<=", target))
			}
		}
		Expect(rejected).To(BeNumerically(">=", 5))
	})

	// Guards against lost, repeated and reordered datagrams and ended routers that leave admissions in progress forever or
	// hold requests beyond their time to spare.
	It("are all sent in time although datagrams are lost or repeated and routers end", func() {
		for seed := range 20 {
			w := newWorld(fastSpeed, true)
			w.loss = 0.2
			w.random.Uint64N(uint64(seed + 1))
			for i := range 10 {
				w.add(500*ms+time.Duration(i)*250*ms, simulated{Prompt: promptqueue.Prompt{Tokens: 2890 + 700*(i%9)}, routerEnds: i%4 == 3})
			}
			w.run(12 * time.Second)
			for _, p := range w.prompts {
				Expect(p.rejected || p.sent-p.arrival <= p.Spare).To(BeTrue())
				Expect(p.done).To(BeTrue())
			}
			w.queue.Admit(w.time())
			inProgress, waiting := w.queue.Tokens()
			Expect([]int{inProgress, waiting}).To(Equal([]int{0, 0}))
		}
	})

	// Guards against prompts that are lost with the state of a sidecar, and against delays by one that is silent.
	It("are sent in time although the sidecar is restarted or silent", func() {
		for _, silent := range []bool{false, true} {
			w := newWorld(fastSpeed, true)
			for i := range 6 {
				w.add(500*ms+time.Duration(i)*10*ms, simulated{Prompt: promptqueue.Prompt{Tokens: 9190}})
			}
			w.after(700*ms, func() { w.queue = promptqueue.New(promptqueue.Limits{TokensPerMS: fastSpeed, MaxPause: 500 * ms}) })
			if silent {
				w.loss = 1
			}
			w.run(8 * time.Second)
			for _, p := range w.prompts {
				Expect(p.rejected).To(BeFalse())
				Expect(p.first - p.arrival).To(And(BeNumerically(">", 0), BeNumerically("<=", target)))
				if silent {
					Expect(p.sent - p.arrival).To(Equal(128 * ms)) // two requests, each 40 ms and the round trip
				}
			}
		}
	})

	// Guards against a tenant that displaces the others, urgent prompts behind less urgent ones, and long prompts that are
	// passed by short ones until they are late.
	It("are served by priority and fairly to tenants and long prompts", func() {
		w := newWorld(fastSpeed, true)
		var flood, small, urgent []*simulated
		for i := range 16 {
			flood = append(flood, w.add(500*ms+time.Duration(i)*ms, simulated{Prompt: promptqueue.Prompt{Tokens: 5000, Tenant: "large", Priority: 1}}))
		}
		long := w.add(550*ms, simulated{Prompt: promptqueue.Prompt{Tokens: 14000, Tenant: "long", Priority: 1}})
		for i := range 4 {
			small = append(small, w.add(600*ms+time.Duration(i)*100*ms, simulated{Prompt: promptqueue.Prompt{Tokens: 2890, Tenant: "small", Priority: 1}}))
			urgent = append(urgent, w.add(600*ms+time.Duration(i)*100*ms, simulated{Prompt: promptqueue.Prompt{Tokens: 2890, Tenant: "large"}}))
		}
		w.run(8 * time.Second)
		worst := func(prompts ...*simulated) time.Duration {
			longest := time.Duration(0)
			for _, p := range prompts {
				Expect(p.rejected).To(BeFalse())
				longest = max(longest, p.sent-p.arrival)
			}
			return longest
		}
		Expect(w.pause).To(BeNumerically("<=", 500*ms))
		Expect(worst(urgent...)).To(BeNumerically("<", 600*ms))
		Expect(worst(small...)).To(BeNumerically("<", worst(flood[:8]...)))
		Expect(worst(long)).To(BeNumerically("<", long.Spare*2/3))
	})
})

var _ = Describe("a queue", func() {
	var q *promptqueue.Queue
	BeforeEach(func() { q = promptqueue.New(promptqueue.Limits{TokensPerMS: 40, MaxPause: 500 * ms}) }) // budget 14,080
	ask := func(now time.Duration, seq, tokens int) promptqueue.Verdict {
		p := promptqueue.Prompt{ID: id(seq), Tokens: tokens, Output: 100, Spare: 2 * time.Second, Due: 3 * time.Second}
		answer := q.Ask(at(now), p)
		for _, admitted := range q.Admit(at(now)) {
			if admitted.ID == p.ID {
				return promptqueue.Admitted
			}
		}
		return answer.Verdict
	}

	It("admits one prompt of any length if none is in progress", func() {
		q.SetLoad(at(0), promptqueue.Load{At: at(0), Running: 5, KVUsed: 990, KVTotal: 1000})
		Expect(ask(0, 1, 50_000)).To(Equal(promptqueue.Admitted))
		Expect(ask(0, 2, 2000)).To(Equal(promptqueue.Waiting))
	})

	// Guards against preemptions, by prompts that fit only until the output of the admitted ones has grown.
	It("admits a further prompt only if it fits the free memory", func() {
		load := promptqueue.Load{At: at(0), Running: 5, KVUsed: 5000, KVTotal: 12_100}
		q.SetLoad(at(0), load)
		Expect(ask(0, 1, 2000)).To(Equal(promptqueue.Admitted))
		Expect(ask(0, 2, 4901)).To(Equal(promptqueue.Waiting)) // beside 2,100 tokens and with 100 of output
		q.End(at(0), id(2), promptqueue.Returned)
		Expect(ask(0, 3, 4900)).To(Equal(promptqueue.Admitted))
		q.End(at(0), id(3), promptqueue.Returned)
		q.End(at(0), id(1), promptqueue.FirstEvent)
		Expect(ask(0, 4, 6901)).To(Equal(promptqueue.Waiting)) // beside the output of the first
		load.KVUsed = 4999
		q.SetLoad(at(ms), load)
		Expect(q.Admit(at(ms))).To(HaveLen(1))
	})

	// Guards against short prompts, which are sent without asking, that are not counted.
	It("counts the engine's queue", func() {
		q.SetLoad(at(0), promptqueue.Load{At: at(0), Queued: 20})
		Expect(ask(0, 1, 2000)).To(Equal(promptqueue.Admitted))
		Expect(ask(0, 2, 2000)).To(Equal(promptqueue.Waiting))
		Expect(ask(1001*ms, 3, 2000)).To(Equal(promptqueue.Admitted)) // the report is old
		Expect(ask(1001*ms, 4, 2000)).To(Equal(promptqueue.Admitted))
	})

	// Guards against a repeated or late datagram that occupies the engine a second time.
	It("admits a prompt only once", func() {
		Expect(ask(0, 1, 9000)).To(Equal(promptqueue.Admitted))
		Expect(ask(ms, 1, 9000)).To(Equal(promptqueue.Admitted))
		Expect(ask(ms, 2, 9000)).To(Equal(promptqueue.Waiting))
		Expect(ask(2*ms, 2, 9000)).To(Equal(promptqueue.Waiting))
		q.End(at(10*ms), id(1), promptqueue.FirstEvent)
		Expect(ask(11*ms, 1, 9000)).To(Equal(promptqueue.None))
		q.Sent(at(12*ms), promptqueue.Prompt{ID: id(1), Tokens: 9000})
		inProgress, waiting := q.Tokens()
		Expect([]int{inProgress, waiting}).To(Equal([]int{0, 9000}))
	})

	// Guards against a long prompt that shorter ones pass until it is late, and less urgent ones that take its room.
	It("lets short prompts pass a longer one of their priority only for half of its time to spare", func() {
		put := func(now time.Duration, seq, tokens, priority int, spare time.Duration) []promptqueue.Prompt {
			q.Ask(at(now), promptqueue.Prompt{ID: id(seq), Tokens: tokens, Priority: priority, Spare: spare, Due: time.Second - time.Duration(seq)*200*ms})
			return q.Admit(at(now))
		}
		Expect(put(0, 1, 9000, 1, ms)).To(HaveLen(1))
		Expect(put(0, 2, 12_000, 1, 400*ms)).To(BeEmpty())
		Expect(put(100*ms, 3, 2000, 2, 2*time.Second)).To(BeEmpty())
		Expect(put(100*ms, 4, 2000, 1, 2*time.Second)).To(HaveLen(1))
		Expect(put(210*ms, 5, 2000, 1, 2*time.Second)).To(BeEmpty())
	})

	// Guards against waits that end late and against the rejection of prompts that can still be in time.
	It("expects waits by the engine's speed and rejects only the prompts that would be late", func() {
		put := func(seq, priority int, spare time.Duration) promptqueue.Answer {
			return q.Ask(at(0), promptqueue.Prompt{ID: id(seq), Tokens: 9000, Priority: priority, Spare: spare, Due: time.Second})
		}
		put(1, 1, ms)
		Expect(q.Admit(at(0))).To(HaveLen(1))
		Expect(put(2, 1, 400*ms)).To(Equal(promptqueue.Answer{Verdict: promptqueue.Waiting, Wait: 335 * ms}))
		Expect(put(3, 1, 669*ms)).To(Equal(promptqueue.Answer{Verdict: promptqueue.Rejected, Wait: 670 * ms}))
		Expect(put(4, 1, 670*ms).Verdict).To(Equal(promptqueue.Waiting))
		Expect(q.Reject(at(0))).To(BeEmpty())
		Expect(put(5, 0, 400*ms).Wait).To(Equal(335 * ms))
		rejected := q.Reject(at(0))
		Expect(rejected).To(HaveLen(1))
		Expect([]any{rejected[0].ID, rejected[0].Wait}).To(Equal([]any{id(2), 670 * ms}))
	})

	It("gives the room of a returned prompt to the next one", func() {
		Expect(ask(0, 1, 9000)).To(Equal(promptqueue.Admitted))
		Expect(ask(0, 2, 9000)).To(Equal(promptqueue.Waiting))
		q.End(at(ms), id(1), promptqueue.Returned)
		Expect(q.Admit(at(ms))).To(HaveLen(1))
	})

	// Guards against reports of first events that are lost and block the engine.
	It("ends prompts by the engine's report, a restart of the engine or the time limit", func() {
		ask(0, 1, 9000)
		ask(0, 2, 9000)
		ask(0, 3, 9000)
		q.SetLoad(at(290*ms), promptqueue.Load{At: at(290 * ms)})
		Expect(q.Admit(at(349 * ms))).To(BeEmpty()) // the streams have not had an event yet
		Expect(q.Admit(at(350 * ms))).To(HaveLen(1))
		q.Reset(at(360 * ms))
		Expect(q.Admit(at(360 * ms))).To(HaveLen(1))
		q = promptqueue.New(promptqueue.Limits{TokensPerMS: 40, MaxPause: 500 * ms})
		ask(0, 1, 9000) // the limit is twice 50 + 225 ms
		ask(0, 2, 9000)
		Expect(q.Admit(at(549 * ms))).To(BeEmpty())
		Expect(q.Admit(at(550 * ms))).To(BeEmpty())
		Expect(q.Admit(at(610 * ms))).To(HaveLen(1))
		Expect(q.Expired).To(BeEquivalentTo(1))
	})

	It("forgets the waiting prompts of a router's earlier process", func() {
		ask(0, 1, 9000)
		ask(0, 2, 9000)
		q.Sent(at(ms), promptqueue.Prompt{ID: promptqueue.ID{Router: "edge-1", Epoch: 2, Seq: 1}, Tokens: 1500})
		_, waiting := q.Tokens()
		Expect(waiting).To(BeZero())
	})
})

var _ = Describe("a request for an admission", func() {
	const roundTrip = 24 * ms
	now := func(d time.Duration) boottime.Instant { return boottime.Instant(d) }
	step := func(a *promptqueue.Ask, d time.Duration) promptqueue.Step { s, _ := a.Next(now(d)); return s }

	It("is repeated once without an answer, then given up", func() {
		a := promptqueue.NewAsk(now(0), 1, roundTrip, time.Second)
		Expect(step(a, 0)).To(Equal(promptqueue.StepTransmit))
		Expect(step(a, 63*ms)).To(Equal(promptqueue.StepWait))
		Expect(step(a, 64*ms)).To(Equal(promptqueue.StepTransmit))
		Expect(step(a, 128*ms)).To(Equal(promptqueue.StepUnanswered))
	})

	It("waits no longer than the time to spare", func() {
		a := promptqueue.NewAsk(now(0), 1, roundTrip, 50*ms)
		step(a, 0)
		a.Apply(now(ms), promptqueue.Answer{Verdict: promptqueue.Waiting, Wait: 5 * time.Second})
		_, wait := a.Next(now(2 * ms))
		Expect(wait).To(Equal(48 * ms))
		Expect(step(a, 50*ms)).To(Equal(promptqueue.StepOutOfTime))
	})

	// Guards against the use of an admission after the sidecar has given its room to others.
	It("yields an admission that expires, also if its answer arrives again", func() {
		a := promptqueue.NewAsk(now(0), 1, roundTrip, time.Second)
		a.Apply(now(10*ms), promptqueue.Answer{Verdict: promptqueue.Admitted})
		Expect(step(a, 309*ms)).To(Equal(promptqueue.StepAdmitted))
		a.Apply(now(200*ms), promptqueue.Answer{Verdict: promptqueue.Admitted})
		Expect(step(a, 310*ms)).To(Equal(promptqueue.StepExpired))
	})
})
