// Package quarantine decides which requests are refused because they crash upstreams, and in which order suspect
// requests are retried after a crash.
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
	// MaxEntries bounds the quarantine list. An entry takes at most about 200 bytes in JSON, so the list stays below
	// 256 KB.
	MaxEntries = 1024
	// MaxSuspects bounds the number of suspects.
	MaxSuspects = 1024
	// agentCrashThreshold is the number of crashes after which a fingerprint is quarantined even if it never ran alone.
	agentCrashThreshold = 2
)

// Reasons for a quarantine entry.
const (
	ReasonAlone = "ran alone when the upstream ended"
	ReasonTwice = "ran in two crashes of the upstream"
)

// suspect is a fingerprint that was running during a crash and has not completed since.
type suspect struct {
	crashes int
	seq     uint64
}

// State is the quarantine state of one agent. It is a pure state machine and not safe for concurrent use.
type State struct {
	running  map[uint64]int // number of calls at the upstream by fingerprint
	calls    int
	suspects map[uint64]*suspect
	waiting  map[uint64]int // number of waiting requests by fingerprint
	list     map[uint64]wire.QuarantineEntry
	hash     uint64
	seq      uint64
}

// New returns a state with an empty quarantine list.
func New() *State {
	return &State{running: map[uint64]int{}, suspects: map[uint64]*suspect{}, waiting: map[uint64]int{}, list: map[uint64]wire.QuarantineEntry{}}
}

// IsQuarantined reports whether requests with the fingerprint are refused because it is on the list.
func (s *State) IsQuarantined(fp uint64) bool {
	_, ok := s.list[fp]
	return ok
}

// IsSuspect reports whether the fingerprint was running during a crash and has not completed since.
func (s *State) IsSuspect(fp uint64) bool { return s.suspects[fp] != nil }

// AddWaiting records that a request with the fingerprint waits to run. While a suspect waits or runs, no other request
// starts.
func (s *State) AddWaiting(fp uint64) { s.waiting[fp]++ }

// RemoveWaiting records that a request with the fingerprint no longer waits.
func (s *State) RemoveWaiting(fp uint64) { decrement(s.waiting, fp) }

// MayStart reports whether a waiting request with the fingerprint may start now. A suspect starts only while no other
// request runs; all others start only while no suspect waits or runs.
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

// Begin records the start of a call. It must be called before anything is sent to the upstream.
func (s *State) Begin(fp uint64) {
	s.running[fp]++
	s.calls++
}

// End records the end of a call. If complete, the upstream answered in full, so the fingerprint is no longer a suspect.
func (s *State) End(fp uint64, complete bool) {
	if s.running[fp] == 0 {
		return
	}
	decrement(s.running, fp)
	s.calls--
	if complete {
		delete(s.suspects, fp)
	}
}

// RecordCrash records that the upstream ended together with all its running calls. It reports whether the list changed.
func (s *State) RecordCrash(now time.Time) bool {
	fingerprints := make([]uint64, 0, len(s.running))
	for fp := range s.running {
		fingerprints = append(fingerprints, fp)
	}
	slices.Sort(fingerprints)
	s.running, s.calls = map[uint64]int{}, 0
	changed := false
	for _, fp := range fingerprints {
		crashes := s.addSuspect(fp)
		switch {
		case len(fingerprints) == 1:
			changed = s.quarantine(now, fp, ReasonAlone) || changed
		case crashes >= agentCrashThreshold:
			changed = s.quarantine(now, fp, ReasonTwice) || changed
		}
	}
	return changed
}

// RecordCallCrash records that the upstream dropped one call without an answer, for upstreams where this cannot be
// distinguished from an end of the upstream. It reports whether the list changed. Other calls do not become suspects,
// and a call that ran alone is not quarantined for that.
func (s *State) RecordCallCrash(now time.Time, fp uint64) bool {
	s.End(fp, false)
	if s.addSuspect(fp) < agentCrashThreshold {
		return false
	}
	return s.quarantine(now, fp, ReasonTwice)
}

// addSuspect makes fp a suspect and returns the number of crashes during which it was running.
func (s *State) addSuspect(fp uint64) int {
	sus := s.suspects[fp]
	if sus == nil {
		sus = &suspect{}
		s.suspects[fp] = sus
	}
	s.seq++
	sus.crashes, sus.seq = sus.crashes+1, s.seq
	for len(s.suspects) > MaxSuspects {
		s.dropOldestSuspect()
	}
	return sus.crashes
}

func (s *State) dropOldestSuspect() {
	var oldest uint64
	var seq uint64
	for fp, sus := range s.suspects {
		if seq == 0 || sus.seq < seq {
			oldest, seq = fp, sus.seq
		}
	}
	delete(s.suspects, oldest)
}

func (s *State) quarantine(now time.Time, fp uint64, reason string) bool {
	delete(s.suspects, fp)
	return s.Merge([]wire.QuarantineEntry{{Fingerprint: fp, UnixMS: now.UnixMilli(), Reason: reason}})
}

// Merge adds entries of another list and reports whether this list changed. The result does not depend on the order of
// merges: the list keeps the latest entry of each fingerprint and the latest MaxEntries entries overall.
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
	previous := s.hash
	s.hash = hashOf(s.Entries())
	return s.hash != previous
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

// Hash returns the hash of the list, or 0 if it is empty. Equal lists have equal hashes in all processes.
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
	return max(1, d.Sum64()) // 0 denotes the empty list
}

// Encode returns the value stored under quarantine/list.
func (s *State) Encode() []byte {
	b, err := json.Marshal(s.Entries())
	if err != nil {
		panic(err) // all field types can be encoded
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
