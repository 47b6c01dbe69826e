// Package promptqueue decides when prompts are sent to a model engine. Queue is the sidecar's side: it admits prompts so
// that those processed together delay the events of the engine's streams no longer than the longest pause allows. Ask is
// the router's side. Both are pure state machines; the caller passes the time.
package promptqueue

import (
	"slices"
	"time"
)

const (
	// eventTime is the time that the steps of one event take without prompts: 8 steps of 3.4 to 5.5 ms and what running
	// requests add.
	eventTime = 60 * time.Millisecond
	// stepTime is the assumed time per generated token of a running request.
	stepTime = eventTime / 8
	// budgetShare is the share of the longest pause, less the event itself, that admitted prompts may take. The rest is
	// for short prompts, which are sent without asking, and for errors in the speed.
	budgetShare = 0.8
	// transit is the time from an admission until the engine has the prompt: two messages between regions.
	transit = 50 * time.Millisecond
	// minLimit is the shortest time after which an admitted prompt counts as processed without a report.
	minLimit = 200 * time.Millisecond
	// maxLimit bounds that time, since callers state the size of their prompts. First events are due within 5 s.
	maxLimit = 10 * time.Second
	// loadFreshness is the age up to which the engine's report is used. Reports are read every 150 ms.
	loadFreshness = time.Second
	// endedRetention is how long ended prompts are remembered, so that repeated or reordered messages do not admit them
	// again.
	endedRetention = 2 * time.Second
	// maxPrompts bounds the prompts of each state that are stored. An engine runs 64 requests, and processes fewer long
	// prompts in the longest target of 5 s.
	maxPrompts = 256
	// shareHalfLife is the time after which the tokens counted for a tenant have halved.
	shareHalfLife = 2 * time.Second
)

// ID identifies one request for an admission. Epoch distinguishes successive processes of a router.
type ID struct {
	Router     string
	Epoch, Seq uint64
}

// Prompt is a prompt that a router wants to send.
type Prompt struct {
	ID ID
	// Tokens is the number of prompt tokens that the engine has to process, and Output the maximum number of tokens that
	// it will generate.
	Tokens, Output int
	// Priority is the rank of the request; 0 is the most urgent. Tenant is empty if there are no tenants.
	Priority int
	Tenant   string
	// Spare is how long the prompt may wait, and Due the time until its first event is due.
	Spare, Due time.Duration
}

// Verdict is the answer to a request for an admission.
type Verdict int

// Verdicts. The numbers are sent in messages.
const (
	// None means that there is nothing to answer: the prompt has ended.
	None Verdict = iota
	// Admitted means that the prompt is to be sent now.
	Admitted
	// Waiting means that the prompt waits in the queue.
	Waiting
	// Rejected means that the prompt cannot be admitted in time. It is not in the queue.
	Rejected
)

// Answer is a verdict with the expected wait.
type Answer struct {
	Verdict Verdict
	Wait    time.Duration
}

// EndKind is how an admitted prompt ended.
type EndKind int

// Kinds of ends. The numbers are sent in messages.
const (
	// FirstEvent means that the prompt has been processed and its output begins.
	FirstEvent EndKind = iota + 1
	// Over means that the request ended before its first event.
	Over
	// Returned means that the prompt was not sent.
	Returned
)

// Limits are the speed of the engine and the longest pause in its streams.
type Limits struct {
	TokensPerMS float64
	MaxPause    time.Duration
}

func (l Limits) prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / max(l.TokensPerMS, 0.001) * float64(time.Millisecond))
}

// budget returns the number of prompt tokens that may be processed between two events of a stream.
func (l Limits) budget() int {
	return int(budgetShare * float64((l.MaxPause - eventTime).Milliseconds()) * l.TokensPerMS)
}

// waitingPrompt is a prompt in the queue.
type waitingPrompt struct {
	Prompt
	arrived time.Time
}

// expires returns the end of the prompt's time to spare.
func (w *waitingPrompt) expires() time.Time { return w.arrived.Add(w.Spare) }

// overdue reports whether the prompt has waited for half of its time to spare.
func (w *waitingPrompt) overdue(now time.Time) bool { return now.Sub(w.arrived) >= w.Spare/2 }

// admittedPrompt is a prompt that the engine is assumed to have or to get.
type admittedPrompt struct {
	Prompt
	admitted, expectedEnd, limit time.Time
}

// Queue is the queue of one engine's sidecar. It is not safe for concurrent use.
type Queue struct {
	limits   Limits
	load     Load
	waiting  []*waitingPrompt
	admitted map[ID]*admittedPrompt
	// burst is the number of tokens admitted since the engine was last without prompts for eventTime: the next event of
	// a stream may have to wait for all of them.
	burst int
	// idleSince is when the last admitted prompt ended.
	idleSince time.Time
	// running are the requests that generate output, from which memory follows that they still need.
	running []runningRequest
	ended   map[ID]time.Time
	shares  map[string]*tenantShare
	// Expired counts the admitted prompts that ended by the time limit.
	Expired uint64
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{limits: limits, admitted: map[ID]*admittedPrompt{}, ended: map[ID]time.Time{}, shares: map[string]*tenantShare{}}
}

// SetLimits replaces the limits.
func (q *Queue) SetLimits(l Limits) { q.limits = l }

// Reset forgets the admitted prompts, since the engine has restarted.
func (q *Queue) Reset(now time.Time) {
	clear(q.admitted)
	q.running, q.burst, q.idleSince, q.load = nil, 0, now, Load{}
}

// Ask returns the answer to a request for an admission. A repeated request gets the current state of the first one.
// The load that it addresses: some 30 routers send prompts of 9,000 tokens (150 to 400 ms) to the same engine, two or
// three of which delay the events of its streams beyond 0.5 s.
func (q *Queue) Ask(now time.Time, p Prompt) Answer {
	q.refresh(now)
	if _, ended := q.ended[p.ID]; ended {
		return Answer{}
	}
	if q.admitted[p.ID] != nil {
		return Answer{Verdict: Admitted}
	}
	if i := q.find(p.ID); i >= 0 {
		return Answer{Verdict: Waiting, Wait: q.expectedWait(now, q.waiting[i])}
	}
	q.dropEarlierProcess(p.ID)
	w := &waitingPrompt{Prompt: p, arrived: now}
	wait := q.expectedWait(now, w)
	if wait > p.Spare || len(q.waiting) >= maxPrompts || len(q.admitted) >= maxPrompts {
		return Answer{Verdict: Rejected, Wait: wait}
	}
	q.waiting = append(q.waiting, w)
	return Answer{Verdict: Waiting, Wait: wait}
}

// Sent counts a prompt that a router sends without an admission, such as one that has no time to spare.
func (q *Queue) Sent(now time.Time, p Prompt) {
	q.refresh(now)
	if _, ended := q.ended[p.ID]; ended || q.admitted[p.ID] != nil || len(q.admitted) >= maxPrompts {
		return
	}
	q.remove(p.ID)
	q.dropEarlierProcess(p.ID)
	q.admit(now, p)
}

// End records the first event, the end or the return of a prompt.
func (q *Queue) End(now time.Time, id ID, kind EndKind) {
	q.refresh(now)
	if len(q.ended) < 4*maxPrompts {
		q.ended[id] = now
	}
	q.remove(id)
	a := q.admitted[id]
	if a == nil {
		return
	}
	switch kind {
	case FirstEvent:
		q.start(now, a)
	case Returned:
		q.burst -= a.Tokens
		q.share(now, a.Tenant).tokens -= float64(a.Tokens)
	}
	q.forget(now, id)
}

// Admit admits the waiting prompts for which there is room and returns them.
func (q *Queue) Admit(now time.Time) []Prompt {
	q.refresh(now)
	var out []Prompt
	for {
		w := q.nextFitting(now)
		if w == nil {
			return out
		}
		q.remove(w.ID)
		q.admit(now, w.Prompt)
		out = append(out, w.Prompt)
	}
}

// Rejection is a waiting prompt that is rejected, with the expected wait.
type Rejection struct {
	Prompt
	Wait time.Duration
}

// Reject removes and returns the waiting prompts that are not expected to be admitted in time any more because more
// urgent prompts have arrived or others took longer than expected. It is called after Admit.
func (q *Queue) Reject(now time.Time) []Rejection {
	var out []Rejection
	q.play(now, q.waiting, func(w *waitingPrompt, wait time.Duration) {
		if now.Add(wait).After(w.expires()) {
			out = append(out, Rejection{w.Prompt, wait})
		}
	})
	for _, r := range out {
		q.remove(r.ID) // a repeated request is decided anew, since the rejection may be lost
	}
	return out
}

// Next returns when Admit is to be called again if nothing else happens; zero if there is no reason.
func (q *Queue) Next() time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, a := range q.admitted {
		consider(a.limit)
	}
	for _, w := range q.waiting {
		consider(w.expires())
	}
	if len(q.waiting) > 0 && len(q.admitted) == 0 && q.burst > 0 {
		consider(q.idleSince.Add(eventTime))
	}
	return next
}

// IsWaiting reports whether the prompt waits in the queue.
func (q *Queue) IsWaiting(id ID) bool { return q.find(id) >= 0 }

// Tokens returns the prompt tokens in progress at the engine and those that wait for an admission.
func (q *Queue) Tokens() (inProgress, waiting int) {
	for _, a := range q.admitted {
		inProgress += a.Tokens
	}
	for _, w := range q.waiting {
		waiting += w.Tokens
	}
	return inProgress, waiting
}

// nextFitting returns the waiting prompt to admit next, or nil. A prompt that does not fit may be passed by shorter ones
// of its priority until it has waited for half of its time to spare, and never by less urgent ones.
func (q *Queue) nextFitting(now time.Time) *waitingPrompt {
	order := q.order(now, q.waiting)
	for i, w := range order {
		if q.fits(w.Prompt) {
			return w
		}
		if w.overdue(now) || i+1 < len(order) && order[i+1].Priority > w.Priority {
			return nil
		}
	}
	return nil
}

// fits reports whether the prompt may be sent now. One prompt is always admitted when none is in progress.
func (q *Queue) fits(p Prompt) bool {
	if len(q.admitted) == 0 && q.burst <= 0 {
		return true
	}
	return q.burst+q.load.queuedTokens(len(q.admitted))+p.Tokens <= q.limits.budget() && q.fitsMemory(p)
}

func (q *Queue) admit(now time.Time, p Prompt) {
	end := now.Add(transit)
	for _, a := range q.admitted {
		if a.expectedEnd.After(end) {
			end = a.expectedEnd
		}
	}
	end = end.Add(q.limits.prefill(p.Tokens))
	q.admitted[p.ID] = &admittedPrompt{Prompt: p, admitted: now, expectedEnd: end, limit: now.Add(min(maxLimit, max(minLimit, 2*end.Sub(now))))}
	q.burst += p.Tokens
	q.share(now, p.Tenant).tokens += float64(p.Tokens)
}

// forget removes an admitted prompt.
func (q *Queue) forget(now time.Time, id ID) {
	delete(q.admitted, id)
	if len(q.admitted) == 0 {
		q.idleSince = now
	}
}

// refresh applies what follows from the time alone: limits, expired waits, the end of a burst.
func (q *Queue) refresh(now time.Time) {
	for id, a := range q.admitted {
		if !now.Before(a.limit) {
			q.Expired++
			q.start(now, a)
			q.forget(now, id)
		}
	}
	// The router sends a prompt itself at the end of its time to spare, or has ended.
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waitingPrompt) bool { return !now.Before(w.expires()) })
	if len(q.admitted) == 0 && now.Sub(q.idleSince) >= eventTime {
		q.burst = 0
	}
	for id, at := range q.ended {
		if now.Sub(at) > endedRetention {
			delete(q.ended, id)
		}
	}
	q.refreshMemory(now)
}

// dropEarlierProcess removes the waiting prompts of an earlier process of the router.
func (q *Queue) dropEarlierProcess(id ID) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waitingPrompt) bool { return w.ID.Router == id.Router && w.ID.Epoch < id.Epoch })
}

func (q *Queue) find(id ID) int {
	return slices.IndexFunc(q.waiting, func(w *waitingPrompt) bool { return w.ID == id })
}

func (q *Queue) remove(id ID) {
	if i := q.find(id); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}
