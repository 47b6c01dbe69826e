package residency

import "time"

// Stats are counters since process start, for metrics. Ready.Waited carries the time that requests wait for a cold
// start.
type Stats struct {
	// Loads counts base models loaded by an acknowledged order, and LoadTime is the total duration of these orders.
	Loads    uint64
	LoadTime time.Duration
	// Evictions counts targets unloaded to free memory for a load or to get below a lowered limit.
	Evictions uint64
	// IdleUnloads counts models unloaded by the idle policy.
	IdleUnloads uint64
	// UnknownOrders counts orders with an unknown outcome.
	UnknownOrders uint64
	// IdleAccelerators is the accelerator time occupied by models that no request used, loading included: the duration
	// times the number of accelerators.
	IdleAccelerators time.Duration
}

// IdleAcceleratorHours returns the idle accelerator time in hours.
func (s Stats) IdleAcceleratorHours() float64 { return s.IdleAccelerators.Hours() }

// Stats returns the counters as of the last step.
func (s *State) Stats() Stats { return s.stats }

// accrueIdleTime adds the idle accelerator time since the last step. A model that is being unloaded, or whose load may
// have taken effect, counts as occupying its accelerators.
func (s *State) accrueIdleTime(now time.Time) {
	elapsed := now.Sub(s.accruedUntil)
	if elapsed <= 0 {
		return
	}
	s.accruedUntil = now
	for _, m := range s.sortedModels() {
		if m.base.phase != absent && m.inUse() == 0 {
			s.stats.IdleAccelerators += elapsed * time.Duration(max(1, m.cfg.Accelerators))
		}
	}
}
