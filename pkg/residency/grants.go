package residency

import (
	"errors"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/loadplan"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

const (
	// storeBackoff is the delay after a failed store call for a model before the next one.
	storeBackoff = time.Second
	// startGrace is the time after startup in which the watch's first listing may deliver the objects before they are
	// read one by one.
	startGrace = time.Second
	// maxStartReads is the number of objects read concurrently at startup. When 830 agents start together, each sends a
	// further read only after a reply, so the store's limit of 2,000 reads a second is exceeded only as far as the
	// store itself replies faster.
	maxStartReads = 4
	// repairStagger is the delay between VMs of consecutive ranks before they remove the grants of a VM that is gone.
	// It is longer than a write plus the watch interval, so that usually only one VM writes.
	repairStagger = 2 * store.WatchMinInterval
	// maxRepairWait is the longest total delay that follows from a VM's rank.
	maxRepairWait = 5 * time.Minute
)

func (s *State) applyObject(now time.Time, ev ObjectRead) {
	name := modelOf(ev.Key)
	if name == "" {
		return
	}
	m := s.model(name)
	m.reading = false
	if errors.Is(ev.Err, store.ErrNotFound) {
		ev.Err, ev.Version, ev.Value = nil, 0, nil
	}
	if ev.Err != nil || m.client.Observe(ev.Version, ev.Value) != nil {
		m.needRead, m.storeNotBefore = true, now.Add(storeBackoff)
		return
	}
	for _, g := range m.client.Object().Grants {
		s.absence.RecordMention(now, g.VM)
	}
	m.storeNotBefore = time.Time{}
	// After a conflict, a read that returned an older version is retried.
	m.needRead = !m.client.IsCurrent()
	s.assumeEarlierLoad(m)
}

// assumeAbsent records, after a complete listing, that the configured models without an observed object have none. If
// an object was created since the listing, the watch delivers it, and conditional writes fail until then.
func (s *State) assumeAbsent() {
	for _, m := range s.models {
		if s.grantsListed && m.configured && !m.client.WasRead() {
			_ = m.client.Observe(store.MustNotExist, nil) // an absent object always decodes
		}
	}
}

// assumeEarlierLoad reserves memory for a model whose grant an earlier process stamped, because the last load order of
// that process may still take effect.
func (s *State) assumeEarlierLoad(m *model) {
	present, stamped := m.client.Entry()
	if !present || stamped || m.base.phase != absent || m.lastOrderSeq != 0 || s.earlierOrdersDropped() {
		return
	}
	m.base.phase, m.base.phaseSince = unresolved, s.started
	size, _ := s.size(m, m.base)
	s.ledger.ForceReserve(m.base.id, size)
}

func (s *State) applyWriteResult(now time.Time, ev ObjectWritten) {
	m := s.models[modelOf(ev.Key)]
	if m == nil {
		return
	}
	m.needRead = m.client.RecordWriteResult(ev.Version, ev.Err) || m.needRead
	if errors.Is(ev.Err, store.ErrUnavailable) {
		m.storeNotBefore = now.Add(storeBackoff)
	}
}

// mayServe reports whether the model may be served if it is loaded: this VM has a grant, or the grants were not read
// yet.
func (s *State) mayServe(m *model) bool {
	if s.doc == nil || !m.configured {
		return false
	}
	return !m.client.WasRead() || m.client.MayHaveEntry() && !m.client.IsRevoked(s.ceiling(m))
}

// planStore emits the store reads, and the writes other than acquisitions for waiting requests.
func (s *State) planStore(now time.Time) {
	if s.doc == nil {
		return
	}
	reads := 0
	for _, m := range s.models {
		if m.reading {
			reads++
		}
	}
	for _, m := range s.sortedModels() {
		if m.reading || m.client.HasPendingWrite() || now.Before(m.storeNotBefore) {
			continue
		}
		startupRead := m.configured && reads < maxStartReads && now.Sub(s.started) >= startGrace
		if m.needRead || !m.client.IsCurrent() && (m.hasWaiting() || startupRead) {
			reads++
			m.reading, m.needRead = true, false
			s.emit(ReadObject{Key: grant.Key(m.name)})
			continue
		}
		if intent := s.intent(m); intent != 0 {
			_ = s.write(m, intent) // no ErrCeiling: intent acquires only to stamp a grant below the ceiling
		}
	}
}

// intent returns the change to write for a model, other than the acquisition of a new grant, or 0 for none.
func (s *State) intent(m *model) grant.Intent {
	c := m.client
	present, stamped := c.Entry()
	if !present && !c.HasUnresolvedWrite() {
		m.releaseGrant = false
	}
	revoked := c.IsRevoked(s.ceiling(m))
	release := s.draining || !m.configured || revoked || m.releaseGrant
	switch {
	case release && m.isAbsent() && s.listedSinceOrder(m) && (present || c.HasUnresolvedWrite()):
		return grant.IntentRelease
	case revoked || !c.IsCurrent():
		return 0
	case present && m.configured && (!stamped || c.HasUnresolvedWrite() && !c.MayLoad()):
		return grant.IntentAcquire
	case c.HasUnresolvedWrite() && !present && !m.hasWaiting():
		return grant.IntentRelease
	case s.removalDue(m):
		return grant.IntentRemoveGone
	}
	return 0
}

// removalDue reports whether the object has entries of VMs confirmed gone and this VM is due to remove them. The VMs
// become due one after the other in rendezvous hash order, because higher-ranked VMs may never have observed the VM
// that is gone.
func (s *State) removalDue(m *model) bool {
	gone := time.Duration(0)
	for _, g := range m.client.Object().Grants {
		if g.VM != s.opts.VM {
			gone = max(gone, s.absence.GoneFor(g.VM))
		}
	}
	if gone == 0 {
		return false
	}
	rank := slices.Index(loadplan.Rank(m.name, s.peers), s.opts.VM)
	return rank >= 0 && gone > min(time.Duration(rank)*repairStagger, maxRepairWait)
}

func (s *State) isGone(vm string) bool { return vm != s.opts.VM && s.absence.Gone(vm) }

func (s *State) write(m *model, in grant.Intent) error {
	w, err := m.client.Plan(in, s.ceiling(m), s.isGone)
	if w != nil {
		s.emit(WriteObject{Key: grant.Key(m.name), Value: w.Value, Expect: w.Expect})
	}
	return err
}

// otherHolders returns the ids of the other VMs with a grant for the model.
func (s *State) otherHolders(m *model) []string {
	return slices.DeleteFunc(m.client.Object().Holders(), func(vm string) bool { return vm == s.opts.VM })
}
