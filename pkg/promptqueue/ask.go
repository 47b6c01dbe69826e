package promptqueue

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

const (
	// Validity is how long an admission may be used after it arrived.
	Validity = 300 * time.Millisecond
	// repeatDelay is the time without an answer, beyond the round trip, after which a request is repeated.
	repeatDelay = 40 * time.Millisecond
	// maxUnanswered is the number of unanswered requests after which the prompt is sent without an admission. One is not
	// enough, since datagrams are lost.
	maxUnanswered = 2
	// maxPoll bounds the time until a waiting prompt's state is requested again, since the admission may be lost.
	maxPoll = 200 * time.Millisecond
)

// Step is what a router does next for a prompt.
type Step int

// Steps.
const (
	// StepWait waits for an answer.
	StepWait Step = iota
	// StepTransmit sends the request for the admission, for the first time or again.
	StepTransmit
	// StepAdmitted sends the prompt.
	StepAdmitted
	// StepExpired returns an admission that was not used in time and asks again.
	StepExpired
	// StepRejected chooses another engine.
	StepRejected
	// StepUnanswered sends the prompt without an admission since the sidecar does not answer.
	StepUnanswered
	// StepOutOfTime sends the prompt without an admission since it has no time to spare any more.
	StepOutOfTime
)

// Ask is a router's request for one admission. Times are on the clock that continues during a suspend, since an
// admission is a right that expires.
type Ask struct {
	Seq        uint64
	roundTrip  time.Duration
	spareEnd   boottime.Instant
	repeatAt   boottime.Instant
	unanswered int
	answer     Answer
	answeredAt boottime.Instant
}

// NewAsk returns a request for the admission of a prompt that may wait for the spare time.
func NewAsk(now boottime.Instant, seq uint64, roundTrip, spare time.Duration) *Ask {
	return &Ask{Seq: seq, roundTrip: roundTrip, spareEnd: now.Add(spare), repeatAt: now}
}

// Next returns the next step. The duration is the time until Next is to be called again for StepWait, and the expected
// wait for StepRejected.
func (a *Ask) Next(now boottime.Instant) (Step, time.Duration) {
	switch {
	case a.Valid(now):
		return StepAdmitted, 0
	case a.answer.Verdict == Admitted:
		return StepExpired, 0
	case a.answer.Verdict == Rejected:
		return StepRejected, a.answer.Wait
	case now >= a.spareEnd:
		return StepOutOfTime, 0
	case now < a.repeatAt:
		return StepWait, min(a.repeatAt, a.spareEnd).Sub(now)
	case a.unanswered >= maxUnanswered:
		return StepUnanswered, 0
	}
	a.unanswered++
	a.repeatAt = now.Add(repeatDelay + a.roundTrip)
	return StepTransmit, 0
}

// Apply records an answer. An admission or rejection is final; answers after it, which are repeated or late, change
// nothing: a repeated admission must not extend the first one.
func (a *Ask) Apply(now boottime.Instant, answer Answer) {
	if a.answer.Verdict == Admitted || a.answer.Verdict == Rejected {
		return
	}
	a.answer, a.answeredAt, a.unanswered = answer, now, 0
	a.repeatAt = now.Add(min(answer.Wait, maxPoll) + repeatDelay + a.roundTrip)
}

// Valid reports whether the prompt is admitted and the admission has not expired.
func (a *Ask) Valid(now boottime.Instant) bool {
	return a.answer.Verdict == Admitted && now.Sub(a.answeredAt) < Validity
}
