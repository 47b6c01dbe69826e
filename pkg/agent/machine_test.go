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

// coreMachine sends random requests and faults to a core and checks what it promises to routers.
type coreMachine struct {
	r       *rig
	model   bool
	request int
	keys    []string
	running map[string]StartCall // by job
	runs    map[string]int       // effects by key
	jobKey  map[string]string
	decided map[uint64]int // verdicts by stream
	live    []uint64       // streams attached
	ended   map[string]int // ends by job
	begun   map[string]int // starts with an effect, by job
}

// take sorts the actions since the last call.
func (m *coreMachine) take(t *rapid.T) {
	for _, a := range m.r.acts {
		switch a := a.(type) {
		case StartCall:
			m.running[a.Job] = a
			m.begun[a.Job]++
			if key := m.jobKey[a.Job]; key != "" {
				m.runs[key]++
			}
		case ResumeCall:
			m.running[a.Job] = StartCall{Job: a.Job, Run: a.Run}
		case StopCall:
			if c, ok := m.running[a.Job]; ok && c.Run == a.Run {
				m.r.acts = nil
				delete(m.running, a.Job)
				defer m.end(t, CallEnded{Job: a.Job, Run: a.Run, Err: errors.New("canceled")})
			}
		case Attach:
			m.decided[a.Stream]++
			m.live = append(m.live, a.Stream)
		case RefuseStream:
			m.decided[a.Stream]++
		case AnswerStream:
			m.decided[a.Stream]++
		case EndJob:
			m.ended[a.Job]++
			if m.ended[a.Job] > 1 {
				t.Fatalf("job %s ended twice", a.Job)
			}
			if a.Refuse != nil && a.Refuse.Outcome == wire.OutcomeNotRun && m.begun[a.Job] > 0 {
				t.Fatalf("job %s was refused as not run after it ran", a.Job)
			}
		}
	}
	m.r.acts = nil
	for key, n := range m.runs {
		if n > 1 {
			t.Fatalf("key %s ran %d times", key, n)
		}
	}
	if _, running := m.r.c.queue.Len(); running > m.r.listing.Slots {
		t.Fatalf("%d calls run in %d slots", running, m.r.listing.Slots)
	}
}

func (m *coreMachine) end(t *rapid.T, ev CallEnded) {
	m.r.step(ev)
	m.take(t)
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
	m.take(t)
	if m.decided[st] != 1 {
		t.Fatalf("stream %d of %s got %d verdicts", st, id, m.decided[st])
	}
}

// first returns the first running job, or "".
func (m *coreMachine) first() string {
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
		if c.Call.RequestID == "" { // a resume that failed says nothing about the start
			break
		}
		m.begun[c.Job]--
		if key := m.jobKey[c.Job]; key != "" {
			m.runs[key]--
		}
	case 1:
		ev = CallEnded{Job: c.Job, Run: c.Run, Err: engine.ErrUnknown, Received: rapid.Bool().Draw(t, "sent")}
	case 2:
		ev = CallEnded{Job: c.Job, Run: c.Run, Err: engine.ErrDied}
	}
	m.end(t, ev)
}

func (m *coreMachine) listing(t *rapid.T) {
	m.r.step(EngineChecked{Number: m.r.c.checks, Listing: m.r.listing})
	m.take(t)
}

func (m *coreMachine) crash(t *rapid.T) {
	m.r.listing.Epoch += "x"
	m.r.listing.Resident = nil
	m.listing(t)
}

func (m *coreMachine) leave(t *rapid.T) {
	if len(m.live) == 0 {
		return
	}
	st := rapid.SampledFrom(m.live).Draw(t, "stream")
	if rapid.Bool().Draw(t, "cancel") {
		m.r.step(Cancelled{Stream: st})
	} else {
		m.r.step(Closed{Stream: st})
	}
	m.take(t)
}

func (m *coreMachine) wait(d time.Duration) func(*rapid.T) {
	return func(t *rapid.T) { m.r.after(d); m.take(t) }
}

// settle lets everything end and checks that nothing is left.
func (m *coreMachine) settle(t *rapid.T) {
	for _, st := range m.live {
		m.r.step(Closed{Stream: st})
	}
	m.take(t)
	m.r.storeUp = true
	for range 400 {
		if job := m.first(); job != "" {
			c := m.running[job]
			delete(m.running, job)
			m.end(t, CallEnded{Job: job, Run: c.Run})
		}
		m.listing(t)
		m.wait(250 * time.Millisecond)(t)
	}
	if n := len(m.r.c.jobs) + len(m.r.c.requests) + len(m.r.c.streams); n != 0 {
		t.Fatalf("%d jobs, requests and streams are left", n)
	}
	if q, running := m.r.c.queue.Len(); q+running != 0 || m.r.c.blocklist.Isolating() {
		t.Fatalf("%d requests wait and %d run with nobody left", q, running)
	}
}

var _ = Describe("a core under random requests and faults", func() {
	// Guards against a request without a verdict or with two, a key that runs twice, a false not-run, more calls than
	// slots, and anything that is never ended.
	DescribeTable("keeps its promises", func(group string) {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := &coreMachine{r: newRig(group, admission.Limits{Count: 6, Bytes: 1000}), model: group == "g", running: map[string]StartCall{},
				runs: map[string]int{}, jobKey: map[string]string{}, decided: map[uint64]int{}, ended: map[string]int{}, begun: map[string]int{}}
			t.Repeat(map[string]func(*rapid.T){
				"open": m.open, "open2": m.open, "open3": m.open,
				"finish": m.finish, "finish2": m.finish,
				"listing": m.listing, "crash": m.crash, "leave": m.leave,
				"short": m.wait(100 * time.Millisecond), "long": m.wait(4 * time.Second),
				"store": func(*rapid.T) { m.r.storeUp = !m.r.storeUp },
				"bad listing": func(t *rapid.T) {
					m.r.step(EngineChecked{Number: m.r.c.checks, Err: store.ErrUnavailable})
					m.take(t)
				},
			})
			m.settle(t)
		})
	}, Entry("beside a plain service", "p"), Entry("beside a model engine", "g"))
})

var _ = Describe("a mirrored object", func() {
	// Guards against a record that stays wrong after a lost answer or a conflict, and against writes in quick succession.
	It("is written again until it is read back as wanted", func() {
		now := time.Unix(0, 0)
		m := &mirror{key: "k", interval: 30 * time.Second}
		Expect(m.step(now, []byte("a"))).To(Equal(ReadObject{Key: "k"}))
		Expect(m.step(now, []byte("a"))).To(BeNil())
		m.read(now, store.Object{}, store.ErrNotFound)
		Expect(m.step(now, []byte("a"))).To(Equal(WriteObject{Key: "k", Value: []byte("a")}))
		m.written(now, []byte("a"), 0, store.ErrUnknown)
		now = now.Add(mirrorRetry)
		Expect(m.step(now, []byte("a"))).To(Equal(ReadObject{Key: "k"}))
		m.read(now, store.Object{Version: 3, Value: []byte("a")}, nil) // the lost write took effect
		Expect(m.step(now, []byte("a"))).To(BeNil())
		Expect(m.step(now, []byte("b"))).To(Equal(WriteObject{Key: "k", Value: []byte("b"), Expect: 3}))
		m.written(now, []byte("b"), 4, nil)
		Expect(m.step(now.Add(29*time.Second), []byte("c"))).To(BeNil())
		Expect(m.step(now.Add(30*time.Second), []byte("c"))).NotTo(BeNil())
	})
})
