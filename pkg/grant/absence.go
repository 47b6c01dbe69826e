package grant

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

// goneRetention is how long the tracker remembers a VM that is gone. Grants of such a VM are removed within minutes,
// and VM ids are never reused.
const goneRetention = 7 * 24 * time.Hour

// AbsenceTracker determines which VMs are confirmed gone: VMs that were listed, or named in an object, and then absent
// from every read of the VM list for longer than the list can lag. The zero value is an empty tracker.
type AbsenceTracker struct {
	absentSince map[string]time.Time // first read without the VM; zero while it is listed
	lastReadAt  time.Time            // when the last read started
}

// ApplyVMs applies the result of a read of the VM list that started at now.
func (a *AbsenceTracker) ApplyVMs(now time.Time, vms []vmlist.VM) {
	if a.absentSince == nil {
		a.absentSince = map[string]time.Time{}
	}
	a.lastReadAt = now
	present := make(map[string]bool, len(vms))
	for _, vm := range vms {
		present[vm.ID] = true
		a.absentSince[vm.ID] = time.Time{}
	}
	for id, since := range a.absentSince {
		switch {
		case present[id]:
		case since.IsZero():
			a.absentSince[id] = now
		case now.Sub(since) > goneRetention:
			delete(a.absentSince, id)
		}
	}
}

// RecordMention records that an object read at now names the VM, so the VM existed before. The absence of a VM that was
// never listed counts from now, because a read that starts more than vmlist.MaxLag later lists the VM if it still
// exists.
func (a *AbsenceTracker) RecordMention(now time.Time, vm string) {
	if a.absentSince == nil {
		a.absentSince = map[string]time.Time{}
	}
	if _, recorded := a.absentSince[vm]; !recorded {
		a.absentSince[vm] = now
	}
}

// Gone reports whether the VM is confirmed gone as of the last read. It is false for a VM never listed or mentioned.
func (a *AbsenceTracker) Gone(vm string) bool {
	return a.GoneFor(vm) > 0
}

// GoneFor returns for how long the VM has been confirmed gone as of the last read, or 0 if it is not.
func (a *AbsenceTracker) GoneFor(vm string) time.Duration {
	since, recorded := a.absentSince[vm]
	if !recorded || since.IsZero() || a.lastReadAt.Before(since) {
		return 0
	}
	return max(0, a.lastReadAt.Sub(since)-vmlist.MaxLag)
}
