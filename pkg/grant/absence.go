package grant

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

// rememberGone is how long a VM that is gone stays known. Its entries are removed within minutes; a VM id is never
// reused.
const rememberGone = 7 * 24 * time.Hour

// AbsenceTracker finds the VMs that are proved gone: seen in the VM list and then absent from every read of it for longer
// than the list can lag. The zero value has seen none.
type AbsenceTracker struct {
	since map[string]time.Time // first read without the VM; zero while it is listed
	read  time.Time            // when the last read began
}

// ApplyVMs takes a read of the VM list that began at now.
func (a *AbsenceTracker) ApplyVMs(now time.Time, vms []vmlist.VM) {
	if a.since == nil {
		a.since = map[string]time.Time{}
	}
	a.read = now
	present := make(map[string]bool, len(vms))
	for _, vm := range vms {
		present[vm.ID] = true
		a.since[vm.ID] = time.Time{}
	}
	for id, since := range a.since {
		switch {
		case present[id]:
		case since.IsZero():
			a.since[id] = now
		case now.Sub(since) > rememberGone:
			delete(a.since, id)
		}
	}
}

// RecordMention says that the VM was named in an object read now, so it existed before. If it was never seen in the list, its
// absence counts from now on: a read that began more than MaxLag later would show it if it were still there.
func (a *AbsenceTracker) RecordMention(now time.Time, vm string) {
	if a.since == nil {
		a.since = map[string]time.Time{}
	}
	if _, seen := a.since[vm]; !seen {
		a.since[vm] = now
	}
}

// Gone reports whether the VM is proved gone as of the last read. A VM never seen is not.
func (a *AbsenceTracker) Gone(vm string) bool {
	return a.GoneFor(vm) > 0
}

// GoneFor returns for how long the VM has been proved gone as of the last read, 0 if it is not.
func (a *AbsenceTracker) GoneFor(vm string) time.Duration {
	since, seen := a.since[vm]
	if !seen || since.IsZero() || a.read.Before(since) {
		return 0
	}
	return max(0, a.read.Sub(since)-vmlist.MaxLag)
}
