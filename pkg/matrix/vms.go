package matrix

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

// vmList is the platform's list of VMs. Readers get the list as it was lag ago.
type vmList struct {
	w       *World
	current map[string]vmlist.VM
	history []vmSnapshot
	lag     time.Duration
}

type vmSnapshot struct {
	at  time.Time
	vms []vmlist.VM
}

// normalLag is the list's lag without a fault. FaultListLag raises it to almost vmlist.MaxLag.
const normalLag = 2 * time.Second

func newVMList(w *World) *vmList {
	return &vmList{w: w, current: map[string]vmlist.VM{}, lag: normalLag}
}

func (l *vmList) set(vm vmlist.VM) {
	l.current[vm.ID] = vm
	l.record()
}

func (l *vmList) remove(id string) {
	delete(l.current, id)
	l.record()
}

func (l *vmList) record() {
	var vms []vmlist.VM
	for _, vm := range l.current {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b vmlist.VM) int { return strings.Compare(a.ID, b.ID) })
	l.history = append(l.history, vmSnapshot{at: l.w.now, vms: vms})
}

// read returns the list as it was lag ago, or the first list if there was none yet.
func (l *vmList) read() []vmlist.VM {
	at := l.w.now.Add(-l.lag)
	view := l.history[0]
	for _, s := range l.history {
		if !s.at.After(at) {
			view = s
		}
	}
	if !l.w.defects.IgnoreLeaving {
		return view.vms
	}
	vms := slices.Clone(view.vms)
	for i := range vms {
		vms[i].State = vmlist.StateLive
	}
	return vms
}
