// Package quarantine decides which requests are refused because they crash upstreams, and in which order suspects run
// again after a crash.
package quarantine

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

const (
	// MaxEntries bounds the list. An entry takes at most about 200 bytes in JSON, so the list stays below 256 KB.
	MaxEntries = 1024
	// MaxSuspects bounds the fingerprints that are remembered after one crash.
	MaxSuspects = 1024
	// crashLimit is the number of crashes in which a fingerprint is convicted even if it never ran alone.
	crashLimit = 2
)

// Reasons of convictions.
const (
	ReasonAlone = "ran alone when the upstream ended"
	ReasonTwice = "ran in two crashes of the upstream"
)

// suspect is a fingerprint that ran in a crash and has not run to its end since.
type suspect struct {
	crashes int
	seq     uint64
}

// State is the quarantine state of one agent. It is a pure state machine and not safe for concurrent use.
type State struct {
	running  map[uint64]int // calls at the upstream by fingerprint
	calls    int
	suspects map[uint64]*suspect
	waiting  map[uint64]int // waiting requests by fingerprint of a suspect
	list     map[uint64]wire.QuarantineEntry
	hash     uint64
	seq      uint64
}

// New returns a state with an empty list.
func New() *State {
	return &State{running: map[uint64]int{}, suspects: map[uint64]*suspect{}, waiting: map[uint64]int{}, list: map[uint64]wire.QuarantineEntry{}}
}

// IsQuarantined reports whether requests with the fingerprint are refused.
func (s *State) IsQuarantined(fp uint64) bool {
	_, ok := s.list[fp]
	return ok
}

// IsSuspect reports whether the fingerprint ran in a crash and has not run to its end since.
func (s *State) IsSuspect(fp uint64) bool { return s.suspects[fp] != nil }

// AddWaiting counts a request with the fingerprint that waits to run, and Leave one that no longer waits. While a suspect
// waits or runs, no other request starts.
func (s *State) AddWaiting(fp uint64) { s.waiting[fp]++ }

// RemoveWaiting is the counterpart of Wait.
func (s *State) RemoveWaiting(fp uint64) { decrement(s.waiting, fp) }

// MayStart reports whether a waiting request with the fingerprint may start now. A suspect starts only when nothing
// else runs; all others start only while no suspect waits or runs.
func (s *State) MayStart(fp uint64) bool {
	if s.IsQuarantined(fp) {
		return false
	}
	if s.IsSuspect(fp) {
		return s.calls == 0
	}
	return !s.Isolating()
}

// Isolating reports whether a suspect waits or runs.
func (s *State) Isolating() bool {
	for fp := range s.suspects {
		if s.waiting[fp] > 0 || s.running[fp] > 0 {
			return true
		}
	}
	return false
}

// Begin records that a call starts. It is called before anything is sent to the upstream.
func (s *State) Begin(fp uint64) {
	s.running[fp]++
	s.calls++
}

// End records that a call ended. If whole, the upstream answered in full, which clears a suspect.
func (s *State) End(fp uint64, whole bool) {
	if s.running[fp] == 0 {
		return
	}
	decrement(s.running, fp)
	s.calls--
	if whole {
		delete(s.suspects, fp)
	}
}

// RecordCrash records that the upstream ended, together with all its running calls, and reports whether the list changed.
func (s *State) RecordCrash(now time.Time) bool {
	fps := make([]uint64, 0, len(s.running))
	for fp := range s.running {
		fps = append(fps, fp)
	}
	slices.Sort(fps)
	s.running, s.calls = map[uint64]int{}, 0
	changed := false
	for _, fp := range fps {
		crashes := s.accuse(fp)
		switch {
		case len(fps) == 1:
			changed = s.convict(now, fp, ReasonAlone) || changed
		case crashes >= crashLimit:
			changed = s.convict(now, fp, ReasonTwice) || changed
		}
	}
	return changed
}

// RecordCallCrash records that the upstream dropped one call without an answer, where an end of the upstream cannot be told from
// that of the call, and reports whether the list changed. Other calls are not suspected, and running alone proves
// nothing.
func (s *State) RecordCallCrash(now time.Time, fp uint64) bool {
	s.End(fp, false)
	if s.accuse(fp) < crashLimit {
		return false
	}
	return s.convict(now, fp, ReasonTwice)
}

// accuse makes fp a suspect and returns the number of crashes in which it ran.
func (s *State) accuse(fp uint64) int {
	sus := s.suspects[fp]
	if sus == nil {
		sus = &suspect{}
		s.suspects[fp] = sus
	}
	s.seq++
	sus.crashes, sus.seq = sus.crashes+1, s.seq
	for len(s.suspects) > MaxSuspects {
		s.forgetOldest()
	}
	return sus.crashes
}

func (s *State) forgetOldest() {
	var oldest uint64
	var seq uint64
	for fp, sus := range s.suspects {
		if seq == 0 || sus.seq < seq {
			oldest, seq = fp, sus.seq
		}
	}
	delete(s.suspects, oldest)
}

func (s *State) convict(now time.Time, fp uint64, reason string) bool {
	delete(s.suspects, fp)
	return s.Merge([]wire.QuarantineEntry{{Fingerprint: fp, UnixMS: now.UnixMilli(), Reason: reason}})
}

// Merge adds entries of another list and reports whether this list changed. The result does not depend on the order
// of merges: of one fingerprint the latest entry stays, and of too many entries the latest MaxEntries.
func (s *State) Merge(entries []wire.QuarantineEntry) bool {
	changed := false
	for _, e := range entries {
		if old, ok := s.list[e.Fingerprint]; !ok || newer(e, old) {
			s.list[e.Fingerprint] = e
			changed = true
		}
	}
	if !changed {
		return false
	}
	if len(s.list) > MaxEntries {
		all := s.Entries()
		slices.SortFunc(all, latestFirst)
		for _, e := range all[MaxEntries:] {
			delete(s.list, e.Fingerprint)
		}
	}
	before := s.hash
	s.hash = hashOf(s.Entries())
	return s.hash != before
}

func newer(a, b wire.QuarantineEntry) bool {
	if a.UnixMS != b.UnixMS {
		return a.UnixMS > b.UnixMS
	}
	return a.Reason > b.Reason
}

func latestFirst(a, b wire.QuarantineEntry) int {
	switch {
	case a.UnixMS != b.UnixMS && a.UnixMS > b.UnixMS:
		return -1
	case a.UnixMS != b.UnixMS:
		return 1
	case a.Fingerprint < b.Fingerprint:
		return -1
	}
	return 1
}

// Entries returns the list sorted by fingerprint.
func (s *State) Entries() []wire.QuarantineEntry {
	out := make([]wire.QuarantineEntry, 0, len(s.list))
	for _, e := range s.list {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b wire.QuarantineEntry) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return out
}

// Hash returns the hash of the list, 0 for an empty one. Equal lists have equal hashes in all processes.
func (s *State) Hash() uint64 { return s.hash }

func hashOf(entries []wire.QuarantineEntry) uint64 {
	d := xxhash.New()
	var b []byte
	for _, e := range entries {
		b = binary.BigEndian.AppendUint64(b[:0], e.Fingerprint)
		b = binary.BigEndian.AppendUint64(b, uint64(e.UnixMS))
		b = append(append(b, e.Reason...), 0)
		_, _ = d.Write(b)
	}
	return max(1, d.Sum64()) // 0 stands for the empty list
}

// Encode returns the value stored under quarantine/list.
func (s *State) Encode() []byte {
	b, err := json.Marshal(s.Entries())
	if err != nil {
		panic(err) // the type has only fields that encode
	}
	return b
}

// Decode parses the value stored under quarantine/list.
func Decode(value []byte) ([]wire.QuarantineEntry, error) {
	var entries []wire.QuarantineEntry
	err := json.Unmarshal(value, &entries)
	return entries, fault.Wrap(err, fault.StepAdmit, "", "decode quarantine list")
}

func decrement(m map[uint64]int, fp uint64) {
	if m[fp] <= 1 {
		delete(m, fp)
		return
	}
	m[fp]--
}
