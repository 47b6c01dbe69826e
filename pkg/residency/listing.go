package residency

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
)

const (
	// listRetry is the time between two listings while something is unsettled or a listing failed.
	listRetry = 500 * time.Millisecond
	// listInterval is the time between two listings otherwise. It finds an engine restart that nobody reported.
	listInterval = 10 * time.Second
	// maxListFailures is how many listings in a row may fail before the waiting requests are refused.
	maxListFailures = 3
)

// listingState is what is known of the engine's listing.
type listingState struct {
	have     bool
	last     engine.Listing
	at       time.Time // when the last good listing was fetched
	seq      uint64    // its sequence number
	fetching bool
	fetchAt  time.Time
	fetchSeq uint64
	wanted   bool      // something happened that only a new listing settles
	after    time.Time // no fetch before
	suspect  bool      // the engine was lost and no listing has been read since
	failures int
}

// planListing fetches a listing when one is needed. Only one is outstanding, so that an answer belongs to one fetch.
func (s *State) planListing(now time.Time) {
	l := &s.listing
	due := l.wanted || !l.have || now.Sub(l.at) >= listInterval || s.unsettled() && now.Sub(l.at) >= listRetry
	if l.fetching || !due || now.Before(l.after) {
		return
	}
	s.seq++
	l.fetching, l.fetchAt, l.fetchSeq, l.wanted = true, now, s.seq, false
	s.emit(FetchListing{})
}

// unsettled says that a listing may settle something.
func (s *State) unsettled() bool {
	for _, m := range s.models {
		if m.order != nil {
			continue
		}
		for _, t := range m.adapters {
			if t.phase == doubtful || t.phase == unloading {
				return true
			}
		}
		if m.base.phase == doubtful || m.base.phase == unloading {
			return true
		}
	}
	return false
}

func (s *State) listed(now time.Time, ev Listed) {
	l := &s.listing
	if !l.fetching {
		// Nobody asked for it, so it is not known when it was taken.
		l.wanted = true
		return
	}
	l.fetching = false
	if ev.Err != nil {
		l.failures++
		l.wanted, l.after = true, now.Add(listRetry)
		return
	}
	// A listing taken before the loss was reported may describe the lost process.
	if l.suspect && !l.wanted {
		l.suspect = false
	}
	l.have, l.last, l.at, l.seq, l.failures = true, ev.Listing, l.fetchAt, l.fetchSeq, 0
	s.reconcile(now)
	s.setLimit()
	if s.startSettled() {
		s.dropReserves()
	}
}

// reconcile brings the targets in line with the listing, except those with an order sent or ended since the fetch.
func (s *State) reconcile(now time.Time) {
	seen := map[engine.Target]engine.Resident{}
	for _, r := range s.listing.last.Resident {
		seen[r.Target] = r
		s.target(r.Target)
	}
	for _, m := range s.sorted() {
		if m.order != nil || m.touched >= s.listing.seq {
			continue
		}
		for _, t := range m.targets() {
			if r, ok := seen[t.id]; ok {
				s.present(now, m, t, r)
			} else {
				s.missing(now, t)
			}
		}
	}
}

// present handles a target that the listing shows.
func (s *State) present(now time.Time, m *model, t *target, r engine.Resident) {
	size, _ := s.size(m, t)
	s.ledger.ForceReserve(t.id, max(size, r.MemoryBytes))
	t.listedLoading = r.Loading
	switch {
	case r.Loading && t.phase != doubtful:
		t.phase, t.since = doubtful, s.listing.at
	case r.Loading:
	case t.phase == unloading:
		// The engine confirmed the unload and lists the target all the same; without a pause the order would repeat at once.
		// One pause for each order: a pause from each listing would never end.
		if m.unloadWait.Before(t.since) {
			m.unloadWait = now.Add(unloadBackoff)
		}
	case t.phase == absent, t.phase == doubtful:
		s.endAsk(t)
		s.loaded(now, t)
	}
}

// loaded records that the engine holds the target.
func (s *State) loaded(now time.Time, t *target) {
	t.phase, t.since, t.lastUse, t.doubt = resident, now, now, time.Time{}
}

// missing handles a target that the listing does not show. A load with an unknown outcome may still take effect until
// the engine has dropped an order whose connection was closed.
func (s *State) missing(now time.Time, t *target) {
	t.listedLoading = false
	switch t.phase {
	case resident, unloading:
		s.gone(now, t)
	case doubtful:
		if s.listing.at.Sub(t.since) > engine.OrderDropDelay {
			s.gone(now, t)
		}
	}
}

// gone records that the engine does not hold the target and no order can load it.
func (s *State) gone(now time.Time, t *target) {
	s.ledger.Release(t.id)
	t.phase, t.since, t.doubt, t.unload = absent, now, time.Time{}, false
}

// startSettled says that orders of an earlier process can no longer take effect: its connections were closed when this
// process started.
func (s *State) startSettled() bool {
	return s.listing.have && s.listing.at.Sub(s.started) > engine.OrderDropDelay
}

// reserveKey is the ledger's key for an adapter that an earlier process may be loading on a base model.
func reserveKey(m *model) engine.Target { return engine.Target{Model: m.name, Adapter: "\x00reserve"} }

// reserveAdapters books, for each base model found loaded at the start, its largest adapter: the earlier process may
// have had one order outstanding for the model. It runs once, before the first load.
func (s *State) reserveAdapters() {
	if s.reserved || s.doc == nil || !s.listing.have {
		return
	}
	s.reserved = true
	for _, m := range s.sorted() {
		if m.base.phase != resident || s.startSettled() {
			continue
		}
		largest := int64(0)
		for id, n := range s.sizes {
			if id.Model == m.name {
				largest = max(largest, n)
			}
		}
		// What the earlier process loads fits below the limit.
		s.ledger.ForceReserve(reserveKey(m), min(largest, s.ledger.Free()))
	}
}

func (s *State) dropReserves() {
	for _, m := range s.models {
		s.ledger.Release(reserveKey(m))
	}
}
