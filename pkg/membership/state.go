package membership

import (
	"sort"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

// vmView is the state of one VM according to the reads of the list.
type vmView struct {
	vm      vmlist.VM
	present bool
	// absentSince is the start of the first of the consecutive reads without the VM; valid if present is false.
	absentSince time.Time
	gone        bool
}

// recordView is the latest version of one upstream record, and whether its agent has announced that it is draining.
type recordView struct {
	upstream Upstream
	version  uint64
	// announcedDraining reports whether the agent announced in a reply that it is draining. It is valid for one
	// incarnation.
	announcedDraining bool
}

// State is the current view of the VM list and the upstream records. It does no I/O and is not safe for concurrent use.
type State struct {
	vms     map[string]*vmView
	records map[string]*recordView
}

// New returns an empty state. It has no candidates, and no VM is gone.
func New() *State {
	return &State{vms: map[string]*vmView{}, records: map[string]*recordView{}}
}

// ApplyVMs applies a successful read of the VM list that started at the given time. Reads do not overlap and the list's
// lag is at most vmlist.MaxLag, so a read that started more than MaxLag after the first read without a VM shows the
// list as it was after the VM had appeared. Failed reads must not be passed: they do not show that a VM is absent.
func (s *State) ApplyVMs(startedAt time.Time, vms []vmlist.VM) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
		s.vms[vm.ID] = &vmView{vm: vm, present: true}
	}
	for id, v := range s.vms {
		if listed[id] {
			continue
		}
		if v.present {
			v.present, v.absentSince = false, startedAt
		}
		if startedAt.Sub(v.absentSince) > vmlist.MaxLag {
			v.gone = true
		}
	}
}

// RecordMention records that an object read at now names the VM, so the VM existed before. If the VM has never been in
// the list, its absence counts from now: a read that starts more than vmlist.MaxLag later would contain it if it still
// existed.
func (s *State) RecordMention(now time.Time, vm string) {
	if s.vms[vm] == nil {
		s.vms[vm] = &vmView{absentSince: now}
	}
}

// ApplyObject applies an object that was read or has changed; objects outside upstreams/ are ignored. A record older
// than the current one is ignored, so that stale reads cannot undo a change. An invalid record counts as removed; the
// error is that of decoding it.
func (s *State) ApplyObject(o store.Object) error {
	vm, ok := strings.CutPrefix(o.Key, store.PrefixUpstreams)
	if !ok {
		return nil
	}
	old := s.records[vm]
	if old != nil && o.Version < old.version {
		return nil
	}
	if o.Deleted {
		s.records[vm] = &recordView{version: o.Version}
		return nil
	}
	u, err := Decode(o.Value)
	if err != nil || u.VM != vm {
		s.records[vm] = &recordView{version: o.Version}
		return err
	}
	announcedDraining := old != nil && old.announcedDraining && old.upstream.Incarnation == u.Incarnation
	s.records[vm] = &recordView{upstream: u, version: o.Version, announcedDraining: announcedDraining}
	return nil
}

// RecordDraining records that an agent announced in a reply that it is draining. This is valid until a record of
// another incarnation of the agent appears.
func (s *State) RecordDraining(vm string) {
	if r := s.records[vm]; r != nil {
		r.announcedDraining = true
	}
}

// Candidate reports whether the VM's upstream may get new requests: it is live in the last read of the list, has a
// record and is not draining.
func (s *State) Candidate(vm string) bool {
	v, r := s.vms[vm], s.records[vm]
	return v != nil && v.present && v.vm.State == vmlist.StateLive &&
		r != nil && r.upstream.VM != "" && !r.upstream.Draining && !r.announcedDraining
}

// Candidates returns the records of all candidates, sorted by VM id.
func (s *State) Candidates() []Upstream {
	return s.collect(s.Candidate)
}

// Upstreams returns the records of all VMs in the last read of the list, candidates or not, sorted by VM id. A leaving
// VM stays reachable for the requests that it already has.
func (s *State) Upstreams() []Upstream {
	return s.collect(func(vm string) bool { v := s.vms[vm]; return v != nil && v.present })
}

func (s *State) collect(keep func(vm string) bool) []Upstream {
	var out []Upstream
	for vm, r := range s.records {
		if r.upstream.VM != "" && keep(vm) {
			out = append(out, r.upstream)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}

// Upstream returns the record of a VM.
func (s *State) Upstream(vm string) (Upstream, bool) {
	r := s.records[vm]
	if r == nil || r.upstream.VM == "" {
		return Upstream{}, false
	}
	return r.upstream, true
}

// Leaving reports whether the list shows the VM as leaving.
func (s *State) Leaving(vm string) bool {
	v := s.vms[vm]
	return v != nil && v.present && v.vm.State == vmlist.StateLeaving
}

// Gone reports whether the VM is confirmed gone: it was in a read of the list by this process or mentioned in an
// object, and was then absent from all reads for longer than vmlist.MaxLag. A VM never listed or mentioned is not gone.
func (s *State) Gone(vm string) bool {
	v := s.vms[vm]
	return v != nil && v.gone
}

// GoneVMs returns the ids of all VMs confirmed gone, sorted. Entries are kept for the life of the process, because
// grants of a VM may be found long after it is gone; with 256 VMs replaced a day the memory stays small.
func (s *State) GoneVMs() []string {
	var out []string
	for id, v := range s.vms {
		if v.gone {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}
