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

// maxCallTime bounds a call that is never cancelled, so that an unresponsive upstream does not occupy a slot for ever.
// The outcome of such a call is unknown.
const maxCallTime = 10 * time.Minute

// callKey identifies one run of a job.
type callKey struct {
	job string
	run int
}

// startCall runs a call on its own goroutine until it ends or StopCall aborts it. It is called on the core's goroutine.
func (a *Agent) startCall(s StartCall) {
	j := a.jobs[s.Job]
	if j == nil {
		return
	}
	j.waitSpan.End()
	call := s.Call
	if s.Continue {
		prefix, ok := j.output.allBytes()
		if !ok {
			a.queueEvent(CallEnded{Job: s.Job, Run: s.Run, Err: engine.ErrRefused, Received: true})
			return
		}
		call.Prefix = prefix
	}
	a.runCall(callKey{s.Job, s.Run}, j, call, s.KeepAnswer, a.engine.Start)
}

// resumeCall resumes a call at the upstream at the length of its output.
func (a *Agent) resumeCall(s ResumeCall) {
	j := a.jobs[s.Job]
	if j == nil {
		return
	}
	call := s.Call
	call.Offset, _ = j.output.length()
	a.runCall(callKey{s.Job, s.Run}, j, call, false, a.engine.Resume)
}

type startFunc func(context.Context, engine.Call) (engine.Stream, error)

func (a *Agent) runCall(key callKey, j *jobState, call engine.Call, keepAnswer bool, start startFunc) {
	ctx, cancel := context.WithTimeout(a.ctx, maxCallTime)
	a.calls[key] = cancel
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		defer cancel()
		ev := a.executeCall(ctx, key, j, call, keepAnswer, start)
		_ = a.events.Push(a.ctx, ev)
	}()
}

// executeCall executes a call at the upstream, copies its answer to the job's output and returns the result.
func (a *Agent) executeCall(ctx context.Context, key callKey, j *jobState, call engine.Call, keepAnswer bool, start startFunc) CallEnded {
	ctx, span := a.tracer.Start(j.parentContext(ctx), "engine")
	defer span.End()
	span.SetAttributes(attribute.String("request", call.RequestID), attribute.Int64("offset", int64(call.Offset)))
	ev := CallEnded{Job: key.job, Run: key.run}
	answerStarted := sync.OnceFunc(func() { _ = a.events.Push(ctx, AnswerStarted{Job: key.job, Run: key.run}) })
	ev.Answer, ev.Err = a.copyAnswer(ctx, j.output, call, keepAnswer, start, answerStarted)
	if ev.Err != nil {
		span.SetStatus(codes.Error, ev.Err.Error())
	}
	_, ev.Received = j.output.length()
	return ev
}

func (a *Agent) copyAnswer(ctx context.Context, out *output, call engine.Call, keepAnswer bool, start startFunc, answerStarted func()) (*once.Answer, error) {
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
			answerStarted()
			// Keep one byte more than the limit, which shows package once that the answer is too large.
			if remaining := once.MaxAnswerBytes + 1 - len(answer.Body); keepAnswer && remaining > 0 {
				answer.Body = append(answer.Body, b[:min(remaining, len(b))]...)
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

// stopCall cancels a run of a call.
func (a *Agent) stopCall(s StopCall) {
	if cancel := a.calls[callKey{s.Job, s.Run}]; cancel != nil {
		cancel()
	}
}
