package quarantine

import "time"

const (
	// answeredTTL is the least time for which an answered request is remembered, unless more than maxAnswered others are
	// answered meanwhile. It is that for which relays send a report, so that one of a crash before the answer never counts.
	answeredTTL = reportTTL
	// maxAnswered bounds the remembered requests in each of the two sets.
	maxAnswered = 2048
)

// answered remembers the requests that were answered lately, in two sets of which the older one is dropped.
type answered struct {
	current, previous map[uint64]struct{}
	startedAt         time.Time // of the current set
}

func (a *answered) rotate(now time.Time) {
	age := now.Sub(a.startedAt)
	if a.current != nil && age <= answeredTTL && len(a.current) < maxAnswered {
		return
	}
	a.previous, a.current, a.startedAt = a.current, map[uint64]struct{}{}, now
	if age > 2*answeredTTL {
		a.previous = nil
	}
}

func (a *answered) add(now time.Time, fp uint64) {
	a.rotate(now)
	a.current[fp] = struct{}{}
}

func (a *answered) contains(now time.Time, fp uint64) bool {
	a.rotate(now)
	_, inCurrent := a.current[fp]
	_, inPrevious := a.previous[fp]
	return inCurrent || inPrevious
}
