package fleet

import "time"

// departureRetention is how long removed upstreams are remembered. A restored list is some seconds old, and the store may
// have been away for longer before.
const departureRetention = 5 * time.Minute

// departure is what was known of an upstream when it was removed.
type departure struct {
	at            time.Time
	startedUnixMS int64
	draining      bool
}

// departed remembers removed upstreams, since their agents go on reporting them and a list that is restored from a copy may
// name them again.
type departed struct {
	byID       map[string]departure
	restoredAt time.Time // last restore of the list
}

func (d *departed) record(now time.Time, m *Member) {
	for id, old := range d.byID {
		if now.Sub(old.at) > departureRetention {
			delete(d.byID, id)
		}
	}
	d.byID[m.ID] = departure{at: now, startedUnixMS: m.StartedUnixMS, draining: m.Draining}
}

// contains reports whether the instance was removed and is not listed again since.
func (d *departed) contains(now time.Time, id string, startedUnixMS int64) bool {
	old, ok := d.byID[id]
	return ok && old.startedUnixMS == startedUnixMS && now.Sub(old.at) <= departureRetention
}

// apply applies what is known of the instance's departure to its new entry. One that had announced its end has ended. Any
// other may have been removed while it lived, and have registered again; in a restored list it is outdated until the
// registration would have lapsed.
func (d *departed) apply(now time.Time, m *Member) {
	if !d.contains(now, m.ID, m.StartedUnixMS) {
		return
	}
	old := d.byID[m.ID]
	if m.StartedUnixMS != 0 { // else it may be a later instance
		m.Draining = m.Draining || old.draining
	}
	if old.at.Before(d.restoredAt) {
		m.outdatedUntil = now.Add(registrationTimeout)
	}
}

// isOutdated reports whether the entry may be one that had been removed. An agent's report shows that the upstream lives.
func (m *Member) isOutdated(now time.Time) bool {
	return now.Before(m.outdatedUntil) && m.ReportedAt.IsZero()
}

// RecordRestore records that the next entries are those of a list that was restored from a copy.
func (s *State) RecordRestore(now time.Time) {
	s.departed.restoredAt = now
	s.RecordStoreRecovery(now)
}
