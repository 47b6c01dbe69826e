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
	// storeBackoff is the time without another store call for a model after one failed.
	storeBackoff = time.Second
	// startGrace leaves the first listing of the watch time to deliver the objects before they are read one by one.
	startGrace = time.Second
	// startReads is how many objects are read at once at the start. With 830 agents that start together it keeps the
	// store's 2,000 reads a second from being exceeded by more than the answers' own pace.
	startReads = 4
	// repairTurn is the time between the turns of two VMs to remove the grants of a VM that is gone. It is longer than
	// a write and the watch's interval, so that mostly one of them writes.
	repairTurn    = 2 * store.WatchMinInterval
	maxRepairWait = 5 * time.Minute
)

func (s *State) objectRead(now time.Time, ev ObjectRead) {
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
		m.needRead, m.storeAfter = true, now.Add(storeBackoff)
		return
	}
	for _, g := range m.client.Object().Grants {
		s.absence.RecordMention(now, g.VM)
	}
	m.storeAfter = time.Time{}
	// A read older than a known conflict is repeated.
	m.needRead = !m.client.IsCurrent()
	s.doubtEarlierLoad(m)
}

// assumeAbsent records, after a complete listing, that the configured models without an object known have none. Should
// one have been created since, the watch delivers it, and a conditional write fails until then.
func (s *State) assumeAbsent() {
	for _, m := range s.models {
		if s.grantsListed && m.configured && !m.client.WasRead() {
			_ = m.client.Observe(store.MustNotExist, nil) // an absent object always decodes
		}
	}
}

// doubtEarlierLoad books a model under a grant of an earlier process: its last order may still take effect.
func (s *State) doubtEarlierLoad(m *model) {
	present, stamped := m.client.Entry()
	if !present || stamped || m.base.phase != absent || m.touched != 0 || s.startSettled() {
		return
	}
	m.base.phase, m.base.since = doubtful, s.started
	size, _ := s.size(m, m.base)
	s.ledger.ForceReserve(m.base.id, size)
}

func (s *State) objectWritten(now time.Time, ev ObjectWritten) {
	m := s.models[modelOf(ev.Key)]
	if m == nil {
		return
	}
	m.needRead = m.client.RecordWriteResult(ev.Version, ev.Err) || m.needRead
	if errors.Is(ev.Err, store.ErrUnavailable) {
		m.storeAfter = now.Add(storeBackoff)
	}
}

// entitled says that the model may be served if it is loaded: the grant is held, or was not read yet.
func (s *State) entitled(m *model) bool {
	if s.doc == nil || !m.configured {
		return false
	}
	return !m.client.WasRead() || m.client.MayHaveEntry() && !m.client.IsRevoked(s.ceiling(m))
}

// planStore sends the reads and writes that do not depend on a waiting request.
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
	for _, m := range s.sorted() {
		if m.reading || m.client.HasPendingWrite() || now.Before(m.storeAfter) {
			continue
		}
		start := m.configured && reads < startReads && now.Sub(s.started) >= startGrace
		if m.needRead || !m.client.IsCurrent() && (m.wanted() || start) {
			reads++
			m.reading, m.needRead = true, false
			s.emit(ReadObject{Key: grant.Key(m.name)})
			continue
		}
		if in := s.intent(m); in != 0 {
			_ = s.write(m, in) // the intents chosen here have no ceiling to reach
		}
	}
}

// intent returns what has to be written for a model apart from a new grant, 0 for nothing.
func (s *State) intent(m *model) grant.Intent {
	c := m.client
	present, stamped := c.Entry()
	if !present && !c.HasUnresolvedWrite() {
		m.giveUp = false
	}
	revoked := c.IsRevoked(s.ceiling(m))
	leave := s.drain || !m.configured || revoked || m.giveUp
	switch {
	case leave && m.settledAbsent() && s.clean(m) && (present || c.HasUnresolvedWrite()):
		return grant.IntentRelease
	case revoked || !c.IsCurrent():
		return 0
	case present && m.configured && (!stamped || c.HasUnresolvedWrite() && !c.MayLoad()):
		return grant.IntentAcquire
	case c.HasUnresolvedWrite() && !present && !m.wanted():
		return grant.IntentRelease
	case s.repairs(m):
		return grant.IntentRemoveGone
	}
	return 0
}

// repairs says that the object has entries of VMs proved gone and that it is this VM's turn to remove them. The VMs take
// turns in the order of a rendezvous hash, as the first ones may never have seen the VM that is gone.
func (s *State) repairs(m *model) bool {
	gone := time.Duration(0)
	for _, g := range m.client.Object().Grants {
		if g.VM != s.o.VM {
			gone = max(gone, s.absence.GoneFor(g.VM))
		}
	}
	if gone == 0 {
		return false
	}
	turn := slices.Index(loadplan.Rank(m.name, s.peers), s.o.VM)
	return turn >= 0 && gone > min(time.Duration(turn)*repairTurn, maxRepairWait)
}

func (s *State) isGone(vm string) bool { return vm != s.o.VM && s.absence.Gone(vm) }

func (s *State) write(m *model, in grant.Intent) error {
	w, err := m.client.Plan(in, s.ceiling(m), s.isGone)
	if w != nil {
		s.emit(WriteObject{Key: grant.Key(m.name), Value: w.Value, Expect: w.Expect})
	}
	return err
}

// holders returns the other VMs that hold a grant for the model.
func (s *State) holders(m *model) []string {
	return slices.DeleteFunc(m.client.Object().Holders(), func(vm string) bool { return vm == s.o.VM })
}
