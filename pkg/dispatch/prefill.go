package dispatch

import "time"

// An engine processes prompts between the tokens of the streams that it generates. Prompts that arrive together lengthen
// each step, and an event spans several steps, so a burst of prompts delays the next event of all streams of the engine
// beyond the longest pause that counts as on time. The callers of the prompts can wait: their first event is due later
// than it is expected.

// prefillWaitShare is the share of the time to spare until the first event is due for which a prompt may wait.
const prefillWaitShare = 0.5

// hasPrefillRoom reports whether the engine can process the request's prompt without delaying the events of its streams
// too long. The bound of the request's own route stands for those of the running streams, which are not known by route.
// More urgent prompts that wait take precedence. A prompt is never held back if the router has no other one there, or if
// the engine's sidecar admits prompts.
func (s *State) hasPrefillRoom(c *comparison, o *candidate) bool {
	r, stats := c.r, o.stats
	if r.Model == "" || r.Route.MaxEventGap == 0 || r.attempts > 0 || admitsPrompts(c.now, o.m) {
		return true
	}
	ahead := 0
	for _, n := range stats.prefill {
		ahead += n
	}
	if pending := s.pendingPrefill[r.Model]; pending != nil {
		for _, n := range pending[:r.priority()] {
			ahead += n
		}
	}
	return ahead <= 0 || ahead+o.uncached <= prefillBudget(o.profile, c.eventSteps, r.Route.MaxEventGap)
}

// prefillBudget returns the number of prompt tokens that may be processed in one step of an engine with the given figures
// so that the steps of an event take no longer than maxGap.
func prefillBudget(p *profile, eventSteps float64, maxGap time.Duration) int {
	perMS := defaultTokensPerMS / max(p.prefillRatio, minRoomRatio)
	return int(float64(maxGap.Milliseconds()) / eventSteps * perMS)
}

// prefillWaitEnd returns until when the request may wait for room at an engine at which it costs the given time to the
// first event.
func (s *State) prefillWaitEnd(r *Request, cost time.Duration) time.Time {
	if r.EventTarget.IsZero() {
		return time.Time{}
	}
	arrived := r.EventTarget.Add(-r.Route.Target)
	spare := max(0, r.Route.Target-cost-answerReserve)
	return arrived.Add(time.Duration(prefillWaitShare * float64(spare)))
}

// AddPendingPrompt records that the request starts to wait for room at an engine. The whole prompt counts, since the
// engine that will process it, and thus its cached part, is not known yet.
func (s *State) AddPendingPrompt(r *Request) {
	s.RemovePendingPrompt(r)
	pending := s.pendingPrefill[r.Model]
	if pending == nil {
		pending = &perPriority[int]{}
		s.pendingPrefill[r.Model] = pending
	}
	r.pending = promptTokens(r)
	pending[r.priority()] += r.pending
}

// RemovePendingPrompt records that the request no longer waits for room at an engine, if it did.
func (s *State) RemovePendingPrompt(r *Request) {
	if pending := s.pendingPrefill[r.Model]; pending != nil {
		pending[r.priority()] -= r.pending
		if *pending == (perPriority[int]{}) {
			delete(s.pendingPrefill, r.Model)
		}
	}
	r.pending = 0
}

// HasPendingPrompts reports whether requests wait for room at an engine.
func (s *State) HasPendingPrompts() bool { return len(s.pendingPrefill) > 0 }
