package dispatch

import (
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

// A prompt with many tokens that an engine has not cached needs an admission by the engine's sidecar, which knows the
// prompts of all routers. See docs/design/prompt-admission.md.

// PromptAsk describes a prompt that needs an admission.
type PromptAsk struct {
	// Tokens is the number of tokens to be processed and Output the maximum number of tokens to be generated.
	Tokens, Output int
	Priority       int
	// Spare is how long the request may wait for the admission; 0 if it is to be sent at once. Due is the time until its
	// first event is due.
	Spare, Due time.Duration
	// RoundTrip is the expected round-trip time to the sidecar.
	RoundTrip time.Duration
}

// sendReserve is the part of the time until the first event set aside for hops between processes and for prompts that
// are admitted together with the request's own.
const sendReserve = 50 * time.Millisecond

// minAskSpare is the least time to spare, beyond the round trip, with which a sidecar is asked: it answers within some
// milliseconds.
const minAskSpare = 10 * time.Millisecond

// overloadWait is the expected wait for an admission above which a request that all engines reject is refused. One
// burst of admitted prompts takes at most about 0.4 s: a request that has less time to spare, for example after the load
// of its model, does not show that the engines are overloaded.
const overloadWait = 500 * time.Millisecond

// admitsPrompts reports whether the sidecar beside the upstream admits prompts and is not known to be unresponsive.
func admitsPrompts(now time.Time, m *fleet.Member) bool {
	return m.Load.AskAbove > 0 && m.Fresh(now) && !m.IsUnresponsive(now) && !m.IsAgentUnresponsive()
}

// prefillTime returns the time in which the upstream processes the number of prompt tokens.
func (s *State) prefillTime(now time.Time, m *fleet.Member, tokens int) time.Duration {
	return s.profile(now, m, s.upstreamStats(m.ID)).prefillTime(tokens)
}

// promptTokensAhead returns the number of other prompts' tokens that the upstream processes before those of the request.
// Where the sidecar reports those of all routers, the report replaces the router's own count, less what has been
// processed since. The own count still applies if it is higher, since the report does not show what was sent after it:
// a router would otherwise send all prompts of a burst to the same engine.
func (s *State) promptTokensAhead(now time.Time, r *Request, m *fleet.Member, stats *upstreamStats) int {
	own := 0
	for _, n := range stats.prefill[:r.priority()+1] {
		own += n
	}
	if !admitsPrompts(now, m) {
		return own
	}
	reported := m.Load.PromptTokens + int(s.shareAhead(now, r)*float64(m.Load.PromptTokensWaiting))
	processed := float64(now.Sub(m.ReportedAt)) / float64(max(1, s.prefillTime(now, m, 1)))
	return max(own+stats.promptWaitTokens, reported-int(processed))
}

// promptAsk returns the request for an admission, or nil if the prompt needs none. Retries and requests without a
// target for their first event have no time to spare: they are sent at once and only counted.
func (s *State) promptAsk(now time.Time, r *Request, m *fleet.Member) *PromptAsk {
	tokens := s.Uncached(m.ID, r)
	if s.engine(r.Service) == nil || r.Model == "" || !admitsPrompts(now, m) || tokens <= m.Load.AskAbove {
		return nil
	}
	ask := &PromptAsk{Tokens: tokens, Output: max(0, r.TokensOut), Priority: r.priority(), RoundTrip: s.roundTrip(m.Zone)}
	if r.EventTarget.IsZero() {
		return ask
	}
	ask.Due = r.EventTarget.Sub(now)
	if r.attempts == 0 && !r.unadmitted {
		spare := ask.Due - s.prefillTime(now, m, tokens) - ask.RoundTrip - sendReserve
		if spare = min(spare, r.waitLimit(now)-answerReserve); spare >= ask.RoundTrip+minAskSpare {
			ask.Spare = spare
		}
	}
	return ask
}

// AddPromptWait adds delta requests, each with the number of prompt tokens, to those that wait for an admission by the
// upstream's sidecar. The sidecar is probed meanwhile, and the tokens count as ahead of later prompts: until its next
// report a router would otherwise send all prompts of a burst to it.
func (s *State) AddPromptWait(id string, delta, tokens int) {
	stats := s.upstreamStats(id)
	stats.promptWaits, stats.promptWaitTokens = stats.promptWaits+delta, stats.promptWaitTokens+delta*tokens
}

// RecordPromptRejected records that the sidecar beside the upstream expects to admit the prompt only after the wait.
func (s *State) RecordPromptRejected(now time.Time, id string, r *Request, wait time.Duration) {
	if r.rejectedBy == nil {
		r.rejectedBy = map[string]time.Time{}
	}
	r.rejectedBy[id] = now.Add(wait)
}

// accepting returns the members whose sidecars have not rejected the prompt. If all have, it returns the refusal: no
// engine can process the prompt in time, and to send it would delay the streams there. If the shortest wait is no sign of
// overload, it returns the member with that wait, and the prompt is sent there without an admission.
func (s *State) accepting(now time.Time, r *Request, members []*fleet.Member) ([]*fleet.Member, Decision, bool) {
	if len(r.rejectedBy) == 0 || r.attempts > 0 {
		return members, Decision{}, true
	}
	earliest, soonest := time.Time{}, (*fleet.Member)(nil)
	open := slices.DeleteFunc(slices.Clone(members), func(m *fleet.Member) bool {
		until, rejected := r.rejectedBy[m.ID]
		rejected = rejected && now.Before(until)
		if rejected && (earliest.IsZero() || until.Before(earliest)) {
			earliest, soonest = until, m
		}
		return rejected
	})
	if len(open) > 0 || len(members) == 0 {
		return open, Decision{}, true
	}
	if earliest.Sub(now) < overloadWait {
		r.unadmitted = true
		return []*fleet.Member{soonest}, Decision{}, true
	}
	s.scaleOut(now, r)
	s.recordRefusal(now, r.Model)
	return nil, Decision{Action: Refuse, Reason: "engines are processing other prompts", RetryAfter: s.retryAfter(now, r, max(0, earliest.Sub(now))), Age: -time.Second}, false
}

// ConfirmSend reports whether the request may still be sent to the upstream that was chosen before a wait: it may have
// begun to drain, ended or unloaded the model meanwhile.
func (s *State) ConfirmSend(now time.Time, r *Request, id string) bool {
	if !now.Before(r.Deadline) || s.Crashes.IsQuarantined(now, r.Fingerprint) || s.Crashes.CrashingPart(now, r.partKeys()) >= 0 {
		return false
	}
	for _, m := range s.candidates(now, r) {
		if m.ID == id && (r.Model == "" || m.Serves(r.Model)) && (r.Adapter == "" || m.HoldsAdapter(r.Model, r.Adapter)) {
			r.sentAt = now
			return true
		}
	}
	return false
}
