package promptqueue

import (
	"slices"
	"time"
)

// shortPromptTokens is the assumed size of a prompt that is sent without asking. Short chats of the deployments have 628
// to 826 tokens.
const shortPromptTokens = 700

// Load is the engine's own report. KVUsed and KVTotal are tokens.
type Load struct {
	At                               time.Time
	Running, Queued, KVUsed, KVTotal int
}

// queuedTokens estimates the tokens of the short prompts in the engine's queue: those beyond the admitted ones.
func (l Load) queuedTokens(admitted int) int { return max(0, l.Queued-admitted) * shortPromptTokens }

// runningRequest is a request that has had its first event and generates at most output tokens.
type runningRequest struct {
	since  time.Time
	output int
}

// remaining returns the number of tokens that the request may still generate after t.
func (r runningRequest) remaining(t time.Time) int {
	return max(0, r.output-max(0, int(t.Sub(r.since)/stepTime)))
}

// SetLoad applies the engine's report. If the engine was idle, the prompts admitted well before have ended, whose
// routers' reports were lost.
func (q *Queue) SetLoad(now time.Time, l Load) {
	q.load = l
	if l.Running == 0 && l.Queued == 0 {
		for id, a := range q.admitted {
			if l.At.Sub(a.admitted) > 2*transit {
				q.forget(now, id)
			}
		}
	}
	q.refresh(now)
}

// start counts the output of a prompt that has been processed.
func (q *Queue) start(now time.Time, a *admittedPrompt) {
	if a.Output > 0 && len(q.running) < maxPrompts {
		q.running = append(q.running, runningRequest{since: now, output: a.Output})
	}
}

func (q *Queue) refreshMemory(now time.Time) {
	q.running = slices.DeleteFunc(q.running, func(r runningRequest) bool { return r.remaining(now) == 0 })
	if now.Sub(q.load.At) > loadFreshness {
		q.load = Load{}
	}
}

// fitsMemory reports whether the prompt and its output fit the engine's free KV memory without a preemption. It counts
// what the report shows as used, the admitted prompts, and the tokens that running requests generate after the report.
// Without a fresh report it is assumed that they fit. It addresses the pauses of preempted streams.
func (q *Queue) fitsMemory(p Prompt) bool {
	if q.load.KVTotal == 0 {
		return true
	}
	needed := q.load.KVUsed + p.Tokens + p.Output
	for _, a := range q.admitted {
		needed += a.Tokens + a.Output
	}
	for _, r := range q.running {
		needed += r.remaining(q.load.At)
	}
	return needed <= q.load.KVTotal
}
