package dispatch

import "time"

// RecordEnd records how an attempt ended.
func (s *State) RecordEnd(now time.Time, id string, r *Request, o Outcome) {
	s.RecordReleased(id, r)
	stats := s.upstreamStats(id)
	failed := 0.0
	switch o {
	case Done:
		s.RecordProgress(now, r)
		s.recordPlain(now, id, r, stats)
		s.Crashes.RecordRequestAnswered(now, r.Fingerprint)
		stats.failures = 0
		r.possibleRuns++
		r.attempts++
	case Expired:
		return
	case NotConnected, NotListening:
		s.Crashes.RecordUnreachable(now, id) // an upstream that interrupted an answer before has probably ended
		if o == NotListening {
			s.Crashes.RecordProcessEnd(now, id)
		}
		s.block(now, stats)
		s.unreachableAt[r.Service] = now
		r.markTried(id)
		return
	case Unproven:
		s.block(now, stats)
		r.markTried(id)
		return
	case NotRun:
		r.attempts++
		r.markTried(id)
		stats.blockedUntil = now.Add(initialBlock)
		return
	case Misdirected:
		r.attempts++
		r.markTried(id)
		s.Fleet.RecordMissing(id, r.Model, r.Adapter)
		return
	case Failed, Interrupted, Unresponsive:
		failed = 1
		r.possibleRuns++
		r.attempts++
		r.markTried(id)
		if o == Interrupted {
			s.block(now, stats)
			s.recordInterrupted(now, id, r)
		}
	case Cancelled, TimedOut: // say nothing about the upstream
		r.possibleRuns++
		r.attempts++
		return
	}
	stats.failureRate += failureWeight * (failed - stats.failureRate)
}

// block makes the upstream a last resort for a time that doubles with each consecutive failure.
func (s *State) block(now time.Time, stats *upstreamStats) {
	stats.blockedUntil = now.Add(min(maxBlock, initialBlock<<min(stats.failures, 6)))
	stats.failures++
}
