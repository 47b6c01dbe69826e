package agent

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuscross/hibiscuscross/pkg/admission"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// coreMachine sends random requests and faults to a core and checks its guarantees to routers.
type coreMachine struct {
	r         *rig
	model     bool
	request   int
	keys      []string
	running   map[string]StartCall // by job
	runs      map[string]int       // number of runs that may have had an effect, by key
	jobKey    map[string]string
	decisions map[uint64]int // number of decisions, by stream
	attached  []uint64       // attached streams
	ended     map[string]int // number of EndJob actions, by job
	effects   map[string]int // number of runs that may have had an effect, by job
}

// process handles the actions collected since its last call and checks the invariants.
func (m *coreMachine) process(t *rapid.T) {
	for _, a := range m.r.actions {
		switch a := a.(type) {
		case StartCall:
			m.running[a.Job] = a
			m.effects[a.Job]++
			if key := m.jobKey[a.Job]; key != "" {
				m.runs[key]++
			}
		case ResumeCall:
			m.running[a.Job] = StartCall{Job: a.Job, Run: a.Run}
		case StopCall:
			if c, ok := m.running[a.Job]; ok && c.Run == a.Run {
				m.r.actions = nil
				delete(m.running, a.Job)
				defer m.endCall(t, CallEnded{Job: a.Job, Run: a.Run, Err: errors.New("canceled")})
			}
		case Attach:
			m.decisions[a.Stream]++
			m.attached = append(m.attached, a.Stream)
		case RefuseStream:
			m.decisions[a.Stream]++
		case AnswerStream:
			m.decisions[a.Stream]++
		case EndJob:
			m.ended[a.Job]++
			if m.ended[a.Job] > 1 {
				t.Fatalf("job %s ended twice", a.Job)
			}
			if a.Refuse != nil && a.Refuse.Outcome == wire.OutcomeNotRun && m.effects[a.Job] > 0 {
				t.Fatalf("job %s was refused as not run after it ran", a.Job)
			}
		}
	}
	m.r.actions = nil
	for key, n := range m.runs {
		if n > 1 {
			t.Fatalf("key %s ran %d times", key, n)
		}
	}
	if _, running := m.r.core.queue.Len(); running > m.r.listing.Slots {
		t.Fatalf("%d calls run in %d slots", running, m.r.listing.Slots)
	}
}

func (m *coreMachine) endCall(t *rapid.T, ev CallEnded) {
	m.r.step(ev)
	m.process(t)
}

func (m *coreMachine) open(t *rapid.T) {
	m.request++
	id := fmt.Sprintf("r%03d", m.request)
	o := lookup(id)
	if m.model {
		o = prompt(id, rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"))
	} else if rapid.Bool().Draw(t, "keyed") {
		if len(m.keys) == 0 || rapid.Bool().Draw(t, "new") {
			m.keys = append(m.keys, keyAt(m.r.now, byte(len(m.keys))))
		}
		o = loan(id, rapid.SampledFrom(m.keys[max(0, len(m.keys)-3):]).Draw(t, "key"))
		m.jobKey[id] = o.Key
	}
	o.Body = []byte(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "body"))
	if o.NonIdempotent {
		o.Body = []byte("book")
	}
	o.TimeoutMS = int64(rapid.IntRange(0, 20000).Draw(t, "timeout"))
	st := m.r.open(o)
	m.process(t)
	if m.decisions[st] != 1 {
		t.Fatalf("stream %d of %s got %d decisions", st, id, m.decisions[st])
	}
}

// firstRunning returns the first running job in the order of ids, or "".
func (m *coreMachine) firstRunning() string {
	for _, job := range slices.Sorted(maps.Keys(m.running)) {
		return job
	}
	return ""
}

// finish ends one running call.
func (m *coreMachine) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	jobs := slices.Sorted(maps.Keys(m.running))
	c := m.running[rapid.SampledFrom(jobs).Draw(t, "job")]
	delete(m.running, c.Job)
	ev := CallEnded{Job: c.Job, Run: c.Run, Received: true, Answer: &once.Answer{Status: 200}}
	switch rapid.IntRange(0, 5).Draw(t, "how") {
	case 0:
		ev = CallEnded{Job: c.Job, Run: c.Run, Err: engine.ErrNotStarted}
		if c.Call.RequestID == "" { // a failed resume does not show that the call never started
			break
		}
		m.effects[c.Job]--
		if key := m.jobKey[c.Job]; key != "" {
			m.runs[key]--
		}
	case 1:
		ev = CallEnded{Job: c.Job, Run: c.Run, Err: engine.ErrUnknown, Received: rapid.Bool().Draw(t, "sent")}
	case 2:
		ev = CallEnded{Job: c.Job, Run: c.Run, Err: engine.ErrDied}
	}
	m.endCall(t, ev)
}

func (m *coreMachine) listing(t *rapid.T) {
	m.r.step(EngineChecked{Number: m.r.core.lastCheck, Listing: m.r.listing})
	m.process(t)
}

func (m *coreMachine) crash(t *rapid.T) {
	m.r.listing.Epoch += "x"
	m.r.listing.Resident = nil
	m.listing(t)
}

func (m *coreMachine) disconnect(t *rapid.T) {
	if len(m.attached) == 0 {
		return
	}
	st := rapid.SampledFrom(m.attached).Draw(t, "stream")
	if rapid.Bool().Draw(t, "cancel") {
		m.r.step(Cancelled{Stream: st})
	} else {
		m.r.step(Closed{Stream: st})
	}
	m.process(t)
}

func (m *coreMachine) wait(d time.Duration) func(*rapid.T) {
	return func(t *rapid.T) { m.r.advance(d); m.process(t) }
}

// finishAll ends all streams and calls and checks that no state remains.
func (m *coreMachine) finishAll(t *rapid.T) {
	for _, st := range m.attached {
		m.r.step(Closed{Stream: st})
	}
	m.process(t)
	m.r.storeUp = true
	for range 400 {
		if job := m.firstRunning(); job != "" {
			c := m.running[job]
			delete(m.running, job)
			m.endCall(t, CallEnded{Job: job, Run: c.Run})
		}
		m.listing(t)
		m.wait(250 * time.Millisecond)(t)
	}
	if n := len(m.r.core.jobs) + len(m.r.core.requests) + len(m.r.core.streams); n != 0 {
		t.Fatalf("%d jobs, requests and streams remain", n)
	}
	if q, running := m.r.core.queue.Len(); q+running != 0 || m.r.core.quarantine.Isolating() {
		t.Fatalf("%d requests wait and %d run after all streams were closed, or a suspect is still isolated", q, running)
	}
}

var _ = Describe("a core under random requests and faults", func() {
	// Guards against a stream without exactly one decision, a key that runs twice, a request refused as not run after it
	// ran, more calls than slots, and a job or request that never ends.
	DescribeTable("keeps its guarantees", func(group string) {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := &coreMachine{r: newRig(group, admission.Limits{Count: 6, Bytes: 1000}), model: group == "g", running: map[string]StartCall{},
				runs: map[string]int{}, jobKey: map[string]string{}, decisions: map[uint64]int{}, ended: map[string]int{}, effects: map[string]int{}}
			t.Repeat(map[string]func(*rapid.T){
				"open": m.open, "open2": m.open, "open3": m.open,
				"finish": m.finish, "finish2": m.finish,
				"listing": m.listing, "crash": m.crash, "leave": m.disconnect,
				"short": m.wait(100 * time.Millisecond), "long": m.wait(4 * time.Second),
				"store": func(*rapid.T) { m.r.storeUp = !m.r.storeUp },
				"bad listing": func(t *rapid.T) {
					m.r.step(EngineChecked{Number: m.r.core.lastCheck, Err: store.ErrUnavailable})
					m.process(t)
				},
			})
			m.finishAll(t)
		})
	}, Entry("beside a plain service", "p"), Entry("beside a model engine", "g"))
})

var _ = Describe("a reconciled object", func() {
	// Guards against a record that stays wrong after a lost reply or a conflict, and against writes in quick succession.
	It("is written until the store has the desired value", func() {
		now := time.Unix(0, 0)
		m := &reconciler{key: "k", interval: 30 * time.Second}
		Expect(m.step(now, []byte("a"))).To(Equal(ReadObject{Key: "k"}))
		Expect(m.step(now, []byte("a"))).To(BeNil())
		m.handleRead(now, store.Object{}, store.ErrNotFound)
		Expect(m.step(now, []byte("a"))).To(Equal(WriteObject{Key: "k", Value: []byte("a")}))
		m.handleWritten(now, []byte("a"), 0, store.ErrUnknown)
		now = now.Add(reconcileRetryDelay)
		Expect(m.step(now, []byte("a"))).To(Equal(ReadObject{Key: "k"}))
		m.handleRead(now, store.Object{Version: 3, Value: []byte("a")}, nil) // the lost write took effect
		Expect(m.step(now, []byte("a"))).To(BeNil())
		Expect(m.step(now, []byte("b"))).To(Equal(WriteObject{Key: "k", Value: []byte("b"), Expect: 3}))
		m.handleWritten(now, []byte("b"), 4, nil)
		Expect(m.step(now.Add(29*time.Second), []byte("c"))).To(BeNil())
		Expect(m.step(now.Add(30*time.Second), []byte("c"))).NotTo(BeNil())
	})
})
