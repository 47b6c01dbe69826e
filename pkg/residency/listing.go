package residency

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
)

const (
	// listRetry is the time between two listings while an outcome is unresolved or after a listing failed.
	listRetry = 500 * time.Millisecond
	// listInterval is the time between two listings otherwise. It bounds how long an unreported engine restart goes
	// undetected.
	listInterval = 10 * time.Second
	// maxListFailures is the number of consecutive failed listings after which waiting requests are refused.
	maxListFailures = 3
)

// listingState is the last listing received from the engine and the state of the current fetch.
type listingState struct {
	received       bool
	last           engine.Listing
	fetchedAt      time.Time // when the fetch of last started
	seq            uint64    // sequence number of the fetch of last
	fetching       bool
	fetchStartedAt time.Time // of the outstanding fetch
	fetchSeq       uint64    // of the outstanding fetch
	needed         bool      // an event since the last fetch started makes a new listing necessary
	notBefore      time.Time // earliest time of the next fetch
	stale          bool      // the engine process ended and no listing fetched since has been received
	failures       int
}

// planListing fetches a listing when one is due. At most one fetch is outstanding, so that each result can be matched
// to its fetch.
func (s *State) planListing(now time.Time) {
	l := &s.listing
	due := l.needed || !l.received || now.Sub(l.fetchedAt) >= listInterval || s.hasUnresolved() && now.Sub(l.fetchedAt) >= listRetry
	if l.fetching || !due || now.Before(l.notBefore) {
		return
	}
	s.seq++
	l.fetching, l.fetchStartedAt, l.fetchSeq, l.needed = true, now, s.seq, false
	s.emit(FetchListing{})
}

// hasUnresolved reports whether a target without an outstanding order for its model waits for a listing to resolve it.
func (s *State) hasUnresolved() bool {
	for _, m := range s.models {
		if m.order != nil {
			continue
		}
		for _, t := range m.adapters {
			if t.phase == unresolved || t.phase == unloading {
				return true
			}
		}
		if m.base.phase == unresolved || m.base.phase == unloading {
			return true
		}
	}
	return false
}

func (s *State) applyListing(now time.Time, ev Listed) {
	l := &s.listing
	if !l.fetching {
		// No fetch is outstanding, so it is unknown when this listing was taken.
		l.needed = true
		return
	}
	l.fetching = false
	if ev.Err != nil {
		l.failures++
		l.needed, l.notBefore = true, now.Add(listRetry)
		return
	}
	// A listing taken before the loss was reported may describe the lost process.
	if l.stale && !l.needed {
		l.stale = false
	}
	l.received, l.last, l.fetchedAt, l.seq, l.failures = true, ev.Listing, l.fetchStartedAt, l.fetchSeq, 0
	s.reconcile(now)
	s.setLimit()
	if s.earlierOrdersDropped() {
		s.releaseReserves()
	}
}

// reconcile updates the targets from the listing, except those of models with an order outstanding, or sent or ended
// since the fetch started.
func (s *State) reconcile(now time.Time) {
	listed := map[engine.Target]engine.Resident{}
	for _, r := range s.listing.last.Resident {
		listed[r.Target] = r
		s.target(r.Target)
	}
	for _, m := range s.sortedModels() {
		if m.order != nil || m.lastOrderSeq >= s.listing.seq {
			continue
		}
		for _, t := range m.targets() {
			if r, ok := listed[t.id]; ok {
				s.reconcileListed(now, m, t, r)
			} else {
				s.reconcileMissing(now, t)
			}
		}
	}
}

// reconcileListed updates a target that the listing contains.
func (s *State) reconcileListed(now time.Time, m *model, t *target, r engine.Resident) {
	size, _ := s.size(m, t)
	s.ledger.ForceReserve(t.id, max(size, r.MemoryBytes))
	t.listedLoading = r.Loading
	switch {
	case r.Loading && t.phase != unresolved:
		t.phase, t.phaseSince = unresolved, s.listing.fetchedAt
	case r.Loading:
	case t.phase == unloading:
		// The engine confirmed the unload but still lists the target. The delay keeps the order from being sent again at
		// once. It is set once for each order, because renewing it with each listing would postpone the order for ever.
		if m.unloadNotBefore.Before(t.phaseSince) {
			m.unloadNotBefore = now.Add(unloadBackoff)
		}
	case t.phase == absent, t.phase == unresolved:
		s.releasePermit(t)
		s.markResident(now, t)
	}
}

// markResident records that the engine has loaded the target.
func (s *State) markResident(now time.Time, t *target) {
	t.phase, t.phaseSince, t.lastUse, t.unresolvedSince = resident, now, now, time.Time{}
}

// reconcileMissing updates a target that the listing does not contain. A load with an unknown outcome may still take
// effect until the engine has dropped the order after its connection was closed.
func (s *State) reconcileMissing(now time.Time, t *target) {
	t.listedLoading = false
	switch t.phase {
	case resident, unloading:
		s.markAbsent(now, t)
	case unresolved:
		if s.listing.fetchedAt.Sub(t.phaseSince) > engine.OrderDropDelay {
			s.markAbsent(now, t)
		}
	}
}

// markAbsent records that the target is not loaded and that no outstanding order can load it.
func (s *State) markAbsent(now time.Time, t *target) {
	s.ledger.Release(t.id)
	t.phase, t.phaseSince, t.unresolvedSince, t.mustUnload = absent, now, time.Time{}, false
}

// earlierOrdersDropped reports whether orders of an earlier process can no longer take effect: their connections were
// closed when this process started.
func (s *State) earlierOrdersDropped() bool {
	return s.listing.received && s.listing.fetchedAt.Sub(s.started) > engine.OrderDropDelay
}

// reserveKey returns the ledger key for an adapter that an earlier process may be loading on a base model.
func reserveKey(m *model) engine.Target { return engine.Target{Model: m.name, Adapter: "\x00reserve"} }

// reserveAdapters reserves memory for the largest adapter of each base model that is loaded at startup, because an
// earlier process may have had one order outstanding for the model. It takes effect once, before the first load.
func (s *State) reserveAdapters() {
	if s.adaptersReserved || s.doc == nil || !s.listing.received {
		return
	}
	s.adaptersReserved = true
	for _, m := range s.sortedModels() {
		if m.base.phase != resident || s.earlierOrdersDropped() {
			continue
		}
		largest := int64(0)
		for id, n := range s.adapterSizes {
			if id.Model == m.name {
				largest = max(largest, n)
			}
		}
		// The earlier process loads only what fits below the limit.
		s.ledger.ForceReserve(reserveKey(m), min(largest, s.ledger.Free()))
	}
}

func (s *State) releaseReserves() {
	for _, m := range s.models {
		s.ledger.Release(reserveKey(m))
	}
}
