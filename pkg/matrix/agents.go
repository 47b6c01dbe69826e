package matrix

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/admission"
	"github.com/hibiscuscross/hibiscuscross/pkg/agent"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	agentTick    = 100 * time.Millisecond
	engineCheck  = time.Second
	listingDelay = 2 * time.Millisecond
	// restartTime is how long the platform takes to start an agent process again.
	restartTime = 2 * time.Second
)

// agentNode is an agent process beside an upstream. It carries out the actions of agent.Core.
type agentNode struct {
	*process
	vm, group   string
	core        *agent.Core
	up          *upstream
	jobs        map[string]*jobOutput
	streams     map[uint64]*simStream
	nextStream  uint64
	incarnation int
	stopped     bool // ended by a planned stop
	stopping    bool
	places      map[string]*agentNode // asks to this agent as the load coordinator, by id
	asked       map[string]*agentNode // coordinators asked, by id
}

// jobOutput is the part of an answer that the agent keeps.
type jobOutput struct {
	head   bool
	bytes  []byte
	ended  bool
	refuse *wire.Refuse
	reads  []*jobReader
	gen    int // of the call at the upstream
	open   *wire.Open
}

// jobReader copies an output to one stream.
type jobReader struct {
	st      *simStream
	request string
	attempt uint32
	offset  uint64
	head    bool
	closed  bool
}

func (w *World) newAgent(vm, group string, plain, ignoresFence bool) *agentNode {
	a := &agentNode{process: &process{w: w, name: vm}, vm: vm, group: group, up: newUpstream(w, vm, plain, ignoresFence)}
	w.agents = append(w.agents, a)
	a.start()
	return a
}

// addr is the agent's address for peers.
func (a *agentNode) addr() string { return a.vm + ":7001" }

// start begins a new agent process on the VM.
func (a *agentNode) start() {
	a.process.begin()
	a.incarnation++
	a.jobs, a.streams = map[string]*jobOutput{}, map[uint64]*simStream{}
	a.places, a.asked = map[string]*agentNode{}, map[string]*agentNode{}
	a.stopped, a.stopping = false, false
	started := a.w.now
	if a.w.broken.ForgetFloor {
		started = epoch.Add(-time.Hour)
	}
	a.core = agent.NewCore(agent.Options{
		VM: a.vm, Incarnation: fmt.Sprintf("%s-%d", a.vm, a.incarnation), Region: "r1", Zone: "z1", Group: a.group, Addr: a.addr(),
		Start: started, Queue: admission.DefaultLimits(), Once: once.DefaultLimits(),
	})
	a.every(agentTick, func() { a.step(agent.Tick{}) })
	a.every(engineCheck, func() { a.checkEngine(0) })
	a.every(vmPoll, func() { a.step(agent.VMsRead{StartedAt: a.w.now, VMs: a.w.vms.read()}) })
	a.follow(func(objects []store.Object, err error) {
		if err != nil {
			a.step(agent.StoreFailed{Err: err})
			return
		}
		a.step(agent.StoreChanged{Objects: objects})
	})
}

// kill ends the process. Its connections fall silent, because nothing tells the other end.
func (a *agentNode) kill() {
	a.process.end()
	for _, st := range a.streams {
		st.silent = true
	}
}

// restartSoon starts the process again on the same VM.
func (a *agentNode) restartSoon() {
	a.w.after(restartTime, func() {
		if !a.alive && !a.reclaimed {
			a.start()
		}
	})
}

func (a *agentNode) step(ev agent.Event) {
	if !a.alive {
		return
	}
	for _, act := range a.core.Step(a.w.now, ev) {
		a.do(act)
	}
	if a.stopping && a.core.IsDrained() {
		a.stopped = true
		a.process.end()
	}
}

// send delivers an event to the process as it is now.
func (a *agentNode) send(d time.Duration, ev agent.Event) {
	a.deliver(d, func() { a.step(ev) })
}

func (a *agentNode) checkEngine(number uint64) {
	l := a.up.listing()
	a.send(listingDelay, agent.EngineChecked{Number: number, Listing: l})
}

func (a *agentNode) do(act agent.Action) {
	switch act := act.(type) {
	case agent.Attach:
		a.attach(act)
	case agent.RefuseStream:
		a.reply(act.Stream, a.refusal(act.Refuse), true)
	case agent.AnswerStream:
		a.answerStored(act)
	case agent.DropStream:
		if st := a.streams[act.Stream]; st != nil {
			st.drop()
		}
	case agent.StartCall:
		a.startCall(act.Job, act.Call, act.Run, act.KeepAnswer, act.Continue)
	case agent.ResumeCall:
		a.resumeCall(act)
	case agent.StopCall:
		a.stopCall(act)
	case agent.EndJob:
		a.endJob(act)
	case agent.ForgetJob:
		delete(a.jobs, act.Job)
	case agent.CheckEngine:
		a.checkEngine(act.Number)
	default:
		a.doOutside(act)
	}
}

func (a *agentNode) doOutside(act agent.Action) {
	switch act := act.(type) {
	case agent.ReadObject:
		a.w.store.get(act.Key, func(o store.Object, err error) {
			a.send(0, agent.ObjectRead{Key: act.Key, Object: o, Err: err})
		})
	case agent.WriteObject:
		a.w.noteWrite(a, act)
		a.w.store.put(act.Key, act.Value, act.Expect, func(v uint64, err error) {
			a.send(0, agent.ObjectWritten{Key: act.Key, Value: act.Value, Expect: act.Expect, Version: v, Err: err})
		})
	case agent.QueryConfig:
		a.w.askConfig(a.process, act.Peer, act.Have, func(doc *wire.ConfigDoc) {
			a.send(0, agent.ConfigReply{Peer: act.Peer, Doc: doc})
		})
	case agent.ExchangeQuarantine:
		a.w.exchangeQuarantine(a.process, act.Peer, act.Entries, func(entries []wire.QuarantineEntry) {
			a.send(0, agent.QuarantineReceived{Entries: entries})
		})
	case agent.RequestPermit:
		a.askPlace(act)
	case agent.ReleasePermit:
		a.returnPlace(act.ID)
	case agent.IssuePermit:
		if from := a.places[act.ID]; from != nil {
			from.send(latency, agent.PermitIssued(act))
		}
	case agent.ResidencyAction:
		a.order(act.Action)
	}
}

func (a *agentNode) order(act residency.Action) {
	switch act := act.(type) {
	case residency.SendOrder:
		a.w.reached(StepOrder, a.vm)
		a.up.receiveOrder(act.Order, func(err error) { a.send(time.Millisecond, agent.OrderDone{Order: act.Order, Err: err}) })
	case residency.FetchListing:
		l := a.up.listing()
		a.send(listingDelay, agent.Listed{Listing: l})
	}
}

func (a *agentNode) askPlace(act agent.RequestPermit) {
	to := a.w.agentAt(act.Addr)
	if to == nil || !to.alive || a.w.isCut(a.name, to.name) {
		return
	}
	a.asked[act.Request.ID] = to
	to.deliver(latency, func() {
		to.places[act.Request.ID] = a
		to.step(agent.PermitRequested{Request: act.Request})
		a.send(latency, agent.PermitQueued{ID: act.Request.ID})
	})
}

func (a *agentNode) returnPlace(id string) {
	to := a.asked[id]
	delete(a.asked, id)
	if to != nil && to.alive {
		to.deliver(latency, func() {
			delete(to.places, id)
			to.step(agent.PermitReleased{ID: id})
		})
	}
}

// attach connects a stream to a job's output.
func (a *agentNode) attach(act agent.Attach) {
	j := a.jobs[act.Job]
	if j == nil {
		j = &jobOutput{open: act.Open}
		a.jobs[act.Job] = j
	}
	st := a.streams[act.Stream]
	if st == nil {
		return
	}
	st.reply(&wire.Accept{Request: act.Request, Attempt: act.Attempt, Load: a.core.Load(), Sync: a.core.Sync()})
	r := &jobReader{st: st, request: act.Request, attempt: act.Attempt, offset: act.Offset}
	j.reads = append(j.reads, r)
	a.w.check.admitted(a, act.Open)
	a.copy(j, r)
}

// copy sends what a reader does not have.
func (a *agentNode) copy(j *jobOutput, r *jobReader) {
	if r.closed || r.st.closed {
		return
	}
	if j.head && !r.head {
		r.head = true
		r.st.reply(&wire.Head{Request: r.request, Attempt: r.attempt, Status: 200})
	}
	if n := uint64(len(j.bytes)); n > r.offset {
		r.st.reply(&wire.Data{Request: r.request, Attempt: r.attempt, Offset: r.offset, Bytes: slices.Clone(j.bytes[r.offset:])})
		r.offset = n
	}
	if !j.ended {
		return
	}
	r.closed = true
	a.w.reached(StepComplete, a.vm)
	var last wire.Message = &wire.End{Request: r.request, Attempt: r.attempt, Outcome: wire.OutcomeDone, Length: r.offset, Load: a.core.Load(), Sync: a.core.Sync()}
	if j.refuse != nil {
		refuse := *j.refuse
		refuse.Request, refuse.Attempt = r.request, r.attempt
		last = a.refusal(&refuse)
	}
	r.st.reply(last)
	r.st.end()
}

func (a *agentNode) copyAll(j *jobOutput) {
	for _, r := range j.reads {
		a.copy(j, r)
	}
}

func (a *agentNode) refusal(r *wire.Refuse) *wire.Refuse {
	a.w.note("%s refuses %s: %s %s %s", a.vm, r.Request, r.Outcome, r.Code, r.Reason)
	r.Load, r.Sync = a.core.Load(), a.core.Sync()
	return r
}

func (a *agentNode) reply(stream uint64, m wire.Message, last bool) {
	st := a.streams[stream]
	if st == nil {
		return
	}
	st.reply(m)
	if last {
		st.end()
	}
}

func (a *agentNode) answerStored(act agent.AnswerStream) {
	body := act.Answer.Body
	off := min(act.Offset, uint64(len(body)))
	a.reply(act.Stream, &wire.Head{Request: act.Request, Attempt: act.Attempt, Status: act.Answer.Status}, false)
	a.reply(act.Stream, &wire.Data{Request: act.Request, Attempt: act.Attempt, Offset: off, Bytes: body[off:]}, false)
	a.reply(act.Stream, &wire.End{Request: act.Request, Attempt: act.Attempt, Outcome: wire.OutcomeDone, Length: uint64(len(body))}, true)
}
