package agent

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
)

// maxCallTime bounds a call that is never cancelled, so that an upstream that has gone silent for good does not take up
// a slot for ever. Its outcome is unknown then.
const maxCallTime = 10 * time.Minute

// callKey names one run of a job.
type callKey struct {
	job string
	run int
}

// startCall runs a call on a goroutine of its own until it ends or StopCall ends it. It runs on the core's goroutine.
func (a *Agent) startCall(s StartCall) {
	j := a.jobs[s.Job]
	if j == nil {
		return
	}
	j.waiting.End()
	call := s.Call
	if s.Continue {
		prefix, ok := j.output.whole()
		if !ok {
			a.later(CallEnded{Job: s.Job, Run: s.Run, Err: engine.ErrRefused, Received: true})
			return
		}
		call.Prefix = prefix
	}
	a.runCall(callKey{s.Job, s.Run}, j, call, s.KeepAnswer, a.engine.Start)
}

// resumeCall continues a call at the upstream.
func (a *Agent) resumeCall(s ResumeCall) {
	j := a.jobs[s.Job]
	if j == nil {
		return
	}
	call := s.Call
	call.Offset, _ = j.output.length()
	a.runCall(callKey{s.Job, s.Run}, j, call, false, a.engine.Resume)
}

type starter func(context.Context, engine.Call) (engine.Stream, error)

func (a *Agent) runCall(key callKey, j *jobState, call engine.Call, keep bool, start starter) {
	ctx, cancel := context.WithTimeout(a.ctx, maxCallTime)
	a.calls[key] = cancel
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		defer cancel()
		ev := a.call(ctx, key, j, call, keep, start)
		_ = a.events.Push(a.ctx, ev)
	}()
}

// call copies the answer to the job's output.
func (a *Agent) call(ctx context.Context, key callKey, j *jobState, call engine.Call, keep bool, start starter) CallEnded {
	ctx, span := a.tracer.Start(j.parent(ctx), "engine")
	defer span.End()
	span.SetAttributes(attribute.String("request", call.RequestID), attribute.Int64("offset", int64(call.Offset)))
	ev := CallEnded{Job: key.job, Run: key.run}
	began := sync.OnceFunc(func() { _ = a.events.Push(ctx, AnswerStarted{Job: key.job, Run: key.run}) })
	ev.Answer, ev.Err = a.copyAnswer(ctx, j.output, call, keep, start, began)
	if ev.Err != nil {
		span.SetStatus(codes.Error, ev.Err.Error())
	}
	_, ev.Received = j.output.length()
	return ev
}

func (a *Agent) copyAnswer(ctx context.Context, out *output, call engine.Call, keep bool, start starter, began func()) (*once.Answer, error) {
	st, err := start(ctx, call)
	if err != nil {
		return nil, err
	}
	defer st.Close()
	head := st.Head()
	out.setHead(head)
	answer := &once.Answer{Status: head.Status, Header: head.Header}
	for {
		b, err := st.Next(ctx)
		if len(b) > 0 {
			if err := out.append(ctx, b); err != nil {
				return nil, err
			}
			began()
			// One byte more than the bound is kept, by which the decision knows that the answer is too large.
			if room := once.MaxAnswerBytes + 1 - len(answer.Body); keep && room > 0 {
				answer.Body = append(answer.Body, b[:min(room, len(b))]...)
			}
		}
		if errors.Is(err, io.EOF) {
			return answer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// stopCall ends a run of a call.
func (a *Agent) stopCall(s StopCall) {
	if cancel := a.calls[callKey{s.Job, s.Run}]; cancel != nil {
		cancel()
	}
}
