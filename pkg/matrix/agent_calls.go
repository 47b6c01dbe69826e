package matrix

import (
	"slices"

	"github.com/hibiscuscross/hibiscuscross/pkg/agent"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
)

// startCall starts a call at the upstream. A continued call tells the upstream which part of the answer exists already.
func (a *agentNode) startCall(id string, call engine.Call, run int, keepAnswer, continued bool) {
	a.w.reached(StepDispatch, a.vm)
	j := a.jobs[id]
	j.gen++
	if continued {
		call.Prefix = slices.Clone(j.bytes)
	}
	a.w.recordDispatch(a, j.open)
	base := len(j.bytes)
	a.connectCall(id, j, call, run, keepAnswer, base, a.up.start)
}

func (a *agentNode) resumeCall(act agent.ResumeCall) {
	j := a.jobs[act.Job]
	j.gen++
	call := act.Call
	call.Offset = uint64(len(j.bytes))
	a.connectCall(act.Job, j, call, act.Run, false, 0, a.up.resume)
}

// starter starts or resumes a call at the upstream. The upstream passes the answer to the callback.
type starter func(engine.Call, func(offset int, b []byte, done bool, err error))

// connectCall appends an upstream's answer to the job's output. The call ends with an error if no heartbeat arrives
// within the engine's liveness timeout.
func (a *agentNode) connectCall(id string, j *jobOutput, call engine.Call, run int, keepAnswer bool, base int, start starter) {
	gen, processGen, lastHeartbeat := j.gen, a.process.generation, a.w.now
	ended := false
	finish := func(err error) {
		if ended {
			return
		}
		ended = true
		ev := agent.CallEnded{Job: id, Run: run, Err: err, Received: j.head}
		if err == nil && keepAnswer {
			ev.Answer = &once.Answer{Status: 200, Body: slices.Clone(j.bytes)}
		}
		a.step(ev)
	}
	start(call, func(offset int, b []byte, done bool, err error) {
		a.deliver(0, func() {
			if j.gen != gen || ended || a.process.generation != processGen {
				return
			}
			lastHeartbeat = a.w.now
			if err == nil {
				if len(b) > 0 {
					a.step(agent.AnswerStarted{Job: id, Run: run})
				}
				j.head = true
				if at := base + offset; at <= len(j.bytes) && at+len(b) > len(j.bytes) {
					j.bytes = append(j.bytes, b[len(j.bytes)-at:]...)
				}
				a.copyAll(j)
			}
			if err != nil || done {
				finish(err)
			}
		})
	})
	if a.up.plain {
		return
	}
	var checkLiveness func()
	checkLiveness = func() {
		if ended || j.gen != gen || a.process.generation != processGen {
			return
		}
		c := a.up.calls[call.RequestID]
		if c != nil && !c.stalled && !c.done {
			lastHeartbeat = a.w.now // comment lines of the stream are heartbeats
		}
		if a.w.now.Sub(lastHeartbeat) >= engine.LivenessTimeout {
			finish(engine.ErrUnresponsive)
			return
		}
		a.deliver(engine.LivenessInterval, checkLiveness)
	}
	a.deliver(engine.LivenessInterval, checkLiveness)
}

func (a *agentNode) stopCall(act agent.StopCall) {
	j := a.jobs[act.Job]
	if j == nil {
		return
	}
	a.up.cancel(j.open.Request)
	j.gen++
	a.send(0, agent.CallEnded{Job: act.Job, Run: act.Run, Err: engine.ErrUnknown, Received: j.head})
}

func (a *agentNode) endJob(act agent.EndJob) {
	j := a.jobs[act.Job]
	if j.ended {
		return
	}
	j.ended, j.refuse = true, act.Refuse
	a.copyAll(j)
}
