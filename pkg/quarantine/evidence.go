package quarantine

import "time"

// Evidence is what has become of an interrupted attempt.
type Evidence struct {
	Fingerprint uint64
	Upstream    string
	// Counted reports whether the attempt counts as a crash; if not, no end of the upstream was known within confirmTimeout.
	Counted bool
	// Age is the time from the interruption to the verdict.
	Age time.Duration
	// Crashes is the number of crashes of the request that count.
	Crashes int
}

// maxEvidence bounds the evidence that is kept until TakeEvidence is called.
const maxEvidence = 64

func (r *Reports) recordEvidence(now time.Time, attempt Interruption, counted bool) {
	if len(r.evidence) >= maxEvidence {
		return
	}
	e := Evidence{Fingerprint: attempt.Fingerprint, Upstream: attempt.Upstream, Counted: counted, Age: now.Sub(attempt.At)}
	if c := r.requests.records[attempt.Fingerprint]; c != nil {
		e.Crashes = c.crashes
	}
	r.evidence = append(r.evidence, e)
}

// TakeEvidence returns what has become of interrupted attempts since the last call.
func (r *Reports) TakeEvidence() []Evidence {
	out := r.evidence
	r.evidence = nil
	return out
}
