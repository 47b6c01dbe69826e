package membership

import (
	"sort"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

// vmView is what the reads of the list have shown of one VM.
type vmView struct {
	vm      vmlist.VM
	present bool
	// absentSince is when the first of the consecutive reads without the VM began; valid if present is false.
	absentSince time.Time
	gone        bool
}

// recordView is one upstream record and what its agent announced since.
type recordView struct {
	upstream Upstream
	version  uint64
	// announced says that the agent reported in an answer that it is draining. It holds for one incarnation.
	announced bool
}

// State holds the last view of the VM list and of the upstream records. It is pure and not safe for concurrent use.
type State struct {
	vms     map[string]*vmView
	records map[string]*recordView
}

// New returns a state that has seen nothing. It has no candidates, and no VM is gone.
func New() *State {
	return &State{vms: map[string]*vmView{}, records: map[string]*recordView{}}
}

// ApplyVMs takes a successful read of the VM list that began at the given time. Reads follow one another, so with the
// list's lag bounded by vmlist.MaxLag, a read that began more than MaxLag after the first read without a VM shows the
// list as it was after the VM had appeared. Failed reads are not passed on: they prove nothing.
func (s *State) ApplyVMs(began time.Time, vms []vmlist.VM) {
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
			v.present, v.absentSince = false, began
		}
		if began.Sub(v.absentSince) > vmlist.MaxLag {
			v.gone = true
		}
	}
}

// RecordMention says that the VM was named in an object read at now, so it existed before. If it was never seen in the list,
// its absence counts from now on: a read that began more than vmlist.MaxLag later would show it if it were still there.
func (s *State) RecordMention(now time.Time, vm string) {
	if s.vms[vm] == nil {
		s.vms[vm] = &vmView{absentSince: now}
	}
}

// ApplyObject takes an object read or changed; objects outside upstreams/ are ignored. A record older than the known
// one is ignored, so that stale reads cannot undo a change. An undecodable record counts as removed and is returned
// as an error.
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
	announced := old != nil && old.announced && old.upstream.Incarnation == u.Incarnation
	s.records[vm] = &recordView{upstream: u, version: o.Version, announced: announced}
	return nil
}

// RecordDraining takes an agent's own notice, received in an answer, that it is draining. It holds until a record of
// another incarnation of the agent appears.
func (s *State) RecordDraining(vm string) {
	if r := s.records[vm]; r != nil {
		r.announced = true
	}
}

// Candidate reports whether the VM's upstream may get new work: live in the last read of the list, with a record, and
// not draining.
func (s *State) Candidate(vm string) bool {
	v, r := s.vms[vm], s.records[vm]
	return v != nil && v.present && v.vm.State == vmlist.StateLive &&
		r != nil && r.upstream.VM != "" && !r.upstream.Draining && !r.announced
}

// Candidates returns the records of all candidates, sorted by VM id.
func (s *State) Candidates() []Upstream {
	return s.collect(s.Candidate)
}

// Upstreams returns all records of VMs in the last read of the list, candidates or not, sorted by VM id. A leaving
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

// Gone reports whether the VM is proved gone: seen in the list by this process, or mentioned in an object, and then
// absent from all reads for longer than vmlist.MaxLag. A VM never seen or mentioned is not gone.
func (s *State) Gone(vm string) bool {
	v := s.vms[vm]
	return v != nil && v.gone
}

// GoneVMs returns all VMs proved gone, sorted. Entries are kept for the life of the process, because grants of a VM
// may be found long after it went; at 256 VMs replaced a day they stay small.
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
