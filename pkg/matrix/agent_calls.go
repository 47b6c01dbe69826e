package matrix

import (
	"slices"

	"github.com/hibiscuscross/hibiscuscross/pkg/agent"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
)

// startCall begins a call at the upstream.
func (a *agentNode) startCall(id string, call engine.Call, run int, keep, cont bool) {
	a.w.reached(StepDispatch, a.vm)
	j := a.jobs[id]
	j.gen++
	if cont {
		call.Prefix = slices.Clone(j.bytes)
	}
	a.w.dispatched(a, j.open)
	base := len(j.bytes)
	a.call(id, j, call, run, keep, base, a.up.start)
}

func (a *agentNode) resumeCall(act agent.ResumeCall) {
	j := a.jobs[act.Job]
	j.gen++
	call := act.Call
	call.Offset = uint64(len(j.bytes))
	a.call(act.Job, j, call, act.Run, false, 0, a.up.resume)
}

type starter func(engine.Call, func(offset int, b []byte, done bool, err error))

// call connects an upstream's answer to the job's output. The connection counts as silent after engine.SilenceLimit.
func (a *agentNode) call(id string, j *jobOutput, call engine.Call, run int, keep bool, base int, start starter) {
	gen, epoch, heard := j.gen, a.process.generation, a.w.now
	over := false
	finish := func(err error) {
		if over {
			return
		}
		over = true
		ev := agent.CallEnded{Job: id, Run: run, Err: err, Received: j.head}
		if err == nil && keep {
			ev.Answer = &once.Answer{Status: 200, Body: slices.Clone(j.bytes)}
		}
		a.step(ev)
	}
	start(call, func(offset int, b []byte, done bool, err error) {
		a.deliver(0, func() {
			if j.gen != gen || over || a.process.generation != epoch {
				return
			}
			heard = a.w.now
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
	var watch func()
	watch = func() {
		if over || j.gen != gen || a.process.generation != epoch {
			return
		}
		c := a.up.calls[call.RequestID]
		if c != nil && !c.silent && !c.done {
			heard = a.w.now // comment lines are signs of life
		}
		if a.w.now.Sub(heard) >= engine.LivenessTimeout {
			finish(engine.ErrUnresponsive)
			return
		}
		a.deliver(engine.LivenessInterval, watch)
	}
	a.deliver(engine.LivenessInterval, watch)
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
