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
	agentTickInterval   = 100 * time.Millisecond
	engineCheckInterval = time.Second
	listingDelay        = 2 * time.Millisecond
	// restartDelay is the time that the platform takes to restart a process.
	restartDelay = 2 * time.Second
)

// agentNode is an agent process beside an upstream. It executes the actions of agent.Core.
type agentNode struct {
	*process
	vm, group     string
	core          *agent.Core
	up            *upstream
	jobs          map[string]*jobOutput
	streams       map[uint64]*simStream
	nextStream    uint64
	incarnation   int
	stopped       bool // ended by a planned stop
	stopping      bool
	permitClients map[string]*agentNode // requesters of load permits from this agent as the coordinator, by request id
	coordinators  map[string]*agentNode // coordinators from which a load permit was requested, by request id
}

// jobOutput is the output of a request at the agent, which streams can read from any offset.
type jobOutput struct {
	head    bool
	bytes   []byte
	ended   bool
	refuse  *wire.Refuse
	readers []*jobReader
	gen     int // changes when a call starts, resumes or stops; earlier output is dropped
	open    *wire.Open
}

// jobReader is the state of one stream that reads a job's output.
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

// addr returns the agent's address for peers.
func (a *agentNode) addr() string { return a.vm + ":7001" }

// start starts a new agent process on the VM.
func (a *agentNode) start() {
	a.process.markStarted()
	a.incarnation++
	a.jobs, a.streams = map[string]*jobOutput{}, map[uint64]*simStream{}
	a.permitClients, a.coordinators = map[string]*agentNode{}, map[string]*agentNode{}
	a.stopped, a.stopping = false, false
	startedAt := a.w.now
	if a.w.defects.ForgetFloor {
		startedAt = startTime.Add(-time.Hour)
	}
	a.core = agent.NewCore(agent.Options{
		VM: a.vm, Incarnation: fmt.Sprintf("%s-%d", a.vm, a.incarnation), Region: "r1", Zone: "z1", Group: a.group, Addr: a.addr(),
		Start: startedAt, Queue: admission.DefaultLimits(), Once: once.DefaultLimits(),
	})
	a.every(agentTickInterval, func() { a.step(agent.Tick{}) })
	a.every(engineCheckInterval, func() { a.checkEngine(0) })
	a.every(vmPollInterval, func() { a.step(agent.VMsRead{StartedAt: a.w.now, VMs: a.w.vms.read()}) })
	a.watchStore(func(objects []store.Object, err error) {
		if err != nil {
			a.step(agent.StoreFailed{Err: err})
			return
		}
		a.step(agent.StoreChanged{Objects: objects})
	})
}

// kill ends the process. Its connections stall, because the other end is not notified.
func (a *agentNode) kill() {
	a.process.markEnded()
	for _, st := range a.streams {
		st.stalled = true
	}
}

// scheduleRestart restarts the process on the same VM after restartDelay.
func (a *agentNode) scheduleRestart() {
	a.w.after(restartDelay, func() {
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
		a.process.markEnded()
	}
}

// send delivers an event after d, unless the current process has ended by then.
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
		a.sendStoredAnswer(act)
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
		a.doExternal(act)
	}
}

func (a *agentNode) doExternal(act agent.Action) {
	switch act := act.(type) {
	case agent.ReadObject:
		a.w.store.get(act.Key, func(o store.Object, err error) {
			a.send(0, agent.ObjectRead{Key: act.Key, Object: o, Err: err})
		})
	case agent.WriteObject:
		a.w.recordWriteStep(a, act)
		a.w.store.put(act.Key, act.Value, act.Expect, func(v uint64, err error) {
			a.send(0, agent.ObjectWritten{Key: act.Key, Value: act.Value, Expect: act.Expect, Version: v, Err: err})
		})
	case agent.QueryConfig:
		a.w.queryConfig(a.process, act.Peer, act.Have, func(doc *wire.ConfigDoc) {
			a.send(0, agent.ConfigReply{Peer: act.Peer, Doc: doc})
		})
	case agent.ExchangeQuarantine:
		a.w.exchangeQuarantine(a.process, act.Peer, act.Entries, func(entries []wire.QuarantineEntry) {
			a.send(0, agent.QuarantineReceived{Entries: entries})
		})
	case agent.RequestPermit:
		a.requestPermit(act)
	case agent.ReleasePermit:
		a.releasePermit(act.ID)
	case agent.IssuePermit:
		if from := a.permitClients[act.ID]; from != nil {
			from.send(latency, agent.PermitIssued(act))
		}
	case agent.ResidencyAction:
		a.doResidency(act.Action)
	}
}

func (a *agentNode) doResidency(act residency.Action) {
	switch act := act.(type) {
	case residency.SendOrder:
		a.w.reached(StepOrder, a.vm)
		a.up.receiveOrder(act.Order, func(err error) { a.send(time.Millisecond, agent.OrderDone{Order: act.Order, Err: err}) })
	case residency.FetchListing:
		l := a.up.listing()
		a.send(listingDelay, agent.Listed{Listing: l})
	}
}

func (a *agentNode) requestPermit(act agent.RequestPermit) {
	to := a.w.agentAt(act.Addr)
	if to == nil || !to.alive || a.w.isPartitioned(a.name, to.name) {
		return
	}
	a.coordinators[act.Request.ID] = to
	to.deliver(latency, func() {
		to.permitClients[act.Request.ID] = a
		to.step(agent.PermitRequested{Request: act.Request})
		a.send(latency, agent.PermitQueued{ID: act.Request.ID})
	})
}

func (a *agentNode) releasePermit(id string) {
	to := a.coordinators[id]
	delete(a.coordinators, id)
	if to != nil && to.alive {
		to.deliver(latency, func() {
			delete(to.permitClients, id)
			to.step(agent.PermitReleased{ID: id})
		})
	}
}

// attach makes a stream a reader of a job's output.
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
	j.readers = append(j.readers, r)
	a.w.check.checkAdmission(a, act.Open)
	a.copy(j, r)
}

// copy sends to a reader the output that it does not have yet.
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
	for _, r := range j.readers {
		a.copy(j, r)
	}
}

func (a *agentNode) refusal(r *wire.Refuse) *wire.Refuse {
	a.w.logf("%s refuses %s: %s %s %s", a.vm, r.Request, r.Outcome, r.Code, r.Reason)
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

func (a *agentNode) sendStoredAnswer(act agent.AnswerStream) {
	body := act.Answer.Body
	off := min(act.Offset, uint64(len(body)))
	a.reply(act.Stream, &wire.Head{Request: act.Request, Attempt: act.Attempt, Status: act.Answer.Status}, false)
	a.reply(act.Stream, &wire.Data{Request: act.Request, Attempt: act.Attempt, Offset: off, Bytes: body[off:]}, false)
	a.reply(act.Stream, &wire.End{Request: act.Request, Attempt: act.Attempt, Outcome: wire.OutcomeDone, Length: uint64(len(body))}, true)
}
