package once_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// storeCall is a store call in flight. It takes effect even if its process has ended.
type storeCall struct {
	from   *process
	action once.Action
	// lost reports whether the sender has already received an unknown outcome.
	lost bool
}

type process struct {
	vm    string
	state *once.State
	skew  time.Duration
}

// machine runs several agents on one fake object with delayed writes, lost replies, restarts and reclaimed VMs.
type machine struct {
	now         time.Time
	agents      []*process
	absentSince map[string]time.Time
	storeCalls  []storeCall
	owners      once.Owners
	version     uint64
	keyedCalls  []once.Call
	runs        map[string]int
	nextVM      int
	keys        int
	history     []once.OwnersRead // earlier states of the object, for stale reads
}

func (m *machine) step(p *process, ev once.Event) {
	for _, a := range p.state.Step(m.now.Add(p.skew), ev) {
		m.storeCalls = append(m.storeCalls, storeCall{from: p, action: a})
	}
}

func (m *machine) startProcess(vm string, skew time.Duration) *process {
	p := &process{vm: vm, skew: skew, state: once.New(vm, m.now.Add(skew), once.Limits{Entries: 4, AnswerBytes: 10, TableBytes: 100})}
	m.step(p, once.Services{Names: []string{"orders"}})
	return p
}

func (m *machine) members() once.Members {
	var ev once.Members
	for _, p := range m.agents {
		ev.Live = append(ev.Live, p.vm)
	}
	for vm, since := range m.absentSince {
		if m.now.Sub(since) > 30*time.Second {
			ev.Gone = append(ev.Gone, vm)
		}
	}
	slices.Sort(ev.Gone)
	return ev
}

func (m *machine) pick(t *rapid.T) *process {
	return m.agents[rapid.IntRange(0, len(m.agents)-1).Draw(t, "agent")]
}

// alive reports whether the process can still receive replies.
func (m *machine) alive(p *process) bool { return slices.Contains(m.agents, p) }

// deliverCall picks a store call and answers it, answers a read with an old state, loses the reply, delays the call
// after reporting an unknown outcome, or drops the call as unavailable.
func (m *machine) deliverCall(t *rapid.T) {
	if len(m.storeCalls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.storeCalls)-1).Draw(t, "flight")
	sc := m.storeCalls[i]
	w, write := sc.action.(once.WriteOwners)
	switch how := rapid.SampledFrom([]string{"answer", "stale", "lose", "late", "unavailable"}).Draw(t, "how"); {
	case sc.lost || how == "answer":
		m.applyCall(i, sc.lost)
	case how == "stale" && !write && len(m.history) > 0:
		m.storeCalls = slices.Delete(m.storeCalls, i, i+1)
		m.deliverEvent(sc, m.history[max(0, len(m.history)-rapid.IntRange(1, 3).Draw(t, "old"))])
	case how == "lose":
		m.applyCall(i, true)
		m.deliverEvent(sc, once.OwnersWritten{Service: "orders", Expect: w.Expect, Err: store.ErrUnknown})
	case write && how == "late":
		m.storeCalls[i].lost = true
		m.deliverEvent(sc, once.OwnersWritten{Service: "orders", Expect: w.Expect, Err: store.ErrUnknown})
	default:
		m.storeCalls = slices.Delete(m.storeCalls, i, i+1)
		m.deliverEvent(sc, once.OwnersWritten{Service: "orders", Expect: w.Expect, Err: store.ErrUnavailable})
		m.deliverEvent(sc, once.OwnersRead{Service: "orders", Err: store.ErrUnavailable})
	}
}

// applyCall executes one store call and replies to it unless loseReply is set.
func (m *machine) applyCall(i int, loseReply bool) {
	sc := m.storeCalls[i]
	m.storeCalls = slices.Delete(m.storeCalls, i, i+1)
	var res once.Event = once.OwnersRead{Service: "orders", Version: m.version, Owners: m.owners}
	if w, ok := sc.action.(once.WriteOwners); ok {
		done := once.OwnersWritten{Service: "orders", Expect: w.Expect, Err: store.ErrConflict}
		if w.Expect == m.version {
			m.history = append(m.history, once.OwnersRead{Service: "orders", Version: m.version, Owners: m.owners})
			m.version++
			m.owners = w.Owners
			done.Version, done.Err = m.version, nil
		}
		res = done
	}
	if !loseReply {
		m.deliverEvent(sc, res)
	}
}

func (m *machine) deliverEvent(sc storeCall, ev once.Event) {
	if m.alive(sc.from) {
		m.step(sc.from, ev)
	}
}

// sync sends the members and the current object to all agents and answers their store calls, except those reported
// lost.
func (m *machine) sync(*rapid.T) {
	for _, p := range m.agents {
		m.step(p, m.members())
		m.step(p, once.OwnersRead{Service: "orders", Version: m.version, Owners: m.owners})
	}
	for range 20 {
		i := slices.IndexFunc(m.storeCalls, func(sc storeCall) bool { return !sc.lost && m.alive(sc.from) })
		if i < 0 {
			return
		}
		m.applyCall(i, false)
	}
}

// newKey returns an unused key of one of the first three slots, which are handed over first.
func (m *machine) newKey() string {
	for {
		m.keys++
		if key := fmt.Sprint(m.keys); once.SlotOf("shop", key) < 3 {
			return key
		}
	}
}

// admit sends a new or a recent key to one agent after the other, as routers with an outdated view and retrying callers
// may do.
func (m *machine) admit(t *rapid.T) {
	if len(m.keyedCalls) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
		issued := m.now.Add(time.Duration(rapid.IntRange(-10, 20).Draw(t, "ahead")) * 100 * time.Millisecond)
		m.keyedCalls = append(m.keyedCalls, call(m.newKey(), issued))
	}
	recent := m.keyedCalls[max(0, len(m.keyedCalls)-6):]
	c := rapid.SampledFrom(recent).Draw(t, "call")
	for _, p := range m.agents {
		if p.state.Admit(m.now.Add(p.skew), c, p.vm).Decision != once.Start {
			continue
		}
		if rapid.IntRange(0, 9).Draw(t, "abort") == 0 {
			p.state.Abort(c)
			continue
		}
		m.runs[c.Key]++
		if m.runs[c.Key] > 1 {
			t.Fatalf("key %s ran %d times, last on %s", c.Key, m.runs[c.Key], p.vm)
		}
		if rapid.IntRange(0, 2).Draw(t, "finish") > 0 {
			p.state.Finish(c, &once.Answer{Status: 200})
		}
	}
}

func (m *machine) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(m.agents)-1).Draw(t, "restarted")
	old := m.agents[i]
	m.agents[i] = &process{}
	m.agents[i] = m.startProcess(old.vm, old.skew)
}

func (m *machine) reclaim(t *rapid.T) {
	if len(m.agents) < 2 {
		return
	}
	i := rapid.IntRange(0, len(m.agents)-1).Draw(t, "reclaimed")
	m.absentSince[m.agents[i].vm] = m.now
	m.agents = slices.Delete(m.agents, i, i+1)
}

func (m *machine) join(t *rapid.T) {
	if len(m.agents) == 3 {
		return
	}
	m.nextVM++
	skew := time.Duration(rapid.IntRange(-5, 5).Draw(t, "skew")) * 100 * time.Millisecond
	m.agents = append(m.agents, m.startProcess(fmt.Sprintf("vm-%d", m.nextVM), skew))
}

// Guards against a second run of a call with the same key under interleavings of delayed and lost writes, restarts,
// drains, reclaimed VMs, evictions, pauses and misdirected requests.
func TestNoSecondRun(t *testing.T) {
	// The library's default of 100 runs of 30 steps rarely reaches a delayed write after a restart.
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.steps": "60"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				t.Fatal(err)
			}
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: start, absentSince: map[string]time.Time{}, runs: map[string]int{}}
		m.join(t)
		advance := func(d time.Duration) func(*rapid.T) { return func(*rapid.T) { m.now = m.now.Add(d) } }
		t.Repeat(map[string]func(*rapid.T){
			"admit": m.admit, "admit2": m.admit, "admit3": m.admit,
			"deliver": m.deliverCall, "deliver2": m.deliverCall,
			"settle": m.sync, "settle2": m.sync, "settle3": m.sync,
			"tick":    func(t *rapid.T) { m.step(m.pick(t), once.Tick{}) },
			"short":   advance(300 * time.Millisecond),
			"second":  advance(time.Second),
			"long":    advance(16 * time.Second),
			"restart": m.restart,
			"reclaim": m.reclaim,
			"join":    m.join,
			"drain":   func(t *rapid.T) { m.step(m.pick(t), once.Drain{}) },
		})
	})
}
