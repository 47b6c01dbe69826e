package residency

import "time"

// Stats are counters since the start of the process, for metrics. The time that requests wait for a cold start is in
// Ready.Waited.
type Stats struct {
	// Loads counts base models loaded by an acknowledged order, and LoadTime adds up how long their orders took.
	Loads    uint64
	LoadTime time.Duration
	// Evictions counts targets unloaded to make room, or to get below a lower limit.
	Evictions uint64
	// IdleUnloads counts models unloaded by the idle policy.
	IdleUnloads uint64
	// UnknownOrders counts orders whose answer was lost.
	UnknownOrders uint64
	// IdleAccelerators is the time for which accelerators were held by models without a request, loads included, times
	// their number.
	IdleAccelerators time.Duration
}

// IdleAcceleratorHours returns the idle accelerator time in hours.
func (s Stats) IdleAcceleratorHours() float64 { return s.IdleAccelerators.Hours() }

// Stats returns the counters as of the last step.
func (s *State) Stats() Stats { return s.stats }

// accrue adds the idle accelerator time since the last step. A model that is being unloaded or whose load may have
// taken effect holds its accelerators too.
func (s *State) accrue(now time.Time) {
	since := now.Sub(s.accrued)
	if since <= 0 {
		return
	}
	s.accrued = now
	for _, m := range s.sorted() {
		if m.base.phase != absent && m.used() == 0 {
			s.stats.IdleAccelerators += since * time.Duration(max(1, m.cfg.Accelerators))
		}
	}
}
