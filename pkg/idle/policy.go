package idle

import (
	"context"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
)

// Ids of the policy modules.
const (
	CostID  = "policy.idle.cost"
	FixedID = "policy.idle.fixed"
	NeverID = "policy.idle.never"
)

// DefaultKeepAlive is the keep-alive time of the fixed policy.
const DefaultKeepAlive = 10 * time.Minute

func init() {
	kernel.Register(CostID, func() kernel.Module { return &Cost{} })
	kernel.Register(FixedID, func() kernel.Module { return &Fixed{} })
	kernel.Register(NeverID, func() kernel.Module { return &Never{} })
}

// CostParams are the two weights of the configuration and what they apply to.
type CostParams struct {
	Weights config.Weights
	// Accelerators is how many accelerators the resident target holds.
	Accelerators int
	// ColdStart is the expected time of loading the target again.
	ColdStart time.Duration
}

// miss returns the cost of one cold start: the requests wait for it, and it holds the accelerators without serving.
func (p CostParams) miss(waiters float64) float64 {
	return (waiters*p.Weights.ColdStart + p.hold()) * p.ColdStart.Seconds()
}

// hold returns the cost of holding the target idle for one second.
func (p CostParams) hold() float64 {
	return p.Weights.IdleAccelerator * float64(p.Accelerators) / time.Hour.Seconds()
}

// Policy decides about one resident target that no request uses.
type Policy interface {
	// ShouldUnload reports whether a target that has been idle for age is unloaded now.
	ShouldUnload(h *Histogram, age time.Duration, p CostParams) bool
}

// UnloadCost returns the expected cost of unloading a target that has been idle for age: the cost of a cold start, weighed
// by the probability that a request comes within the time in which holding it costs as much. Eviction takes the target
// with the lowest value for each byte first.
func UnloadCost(h *Histogram, age time.Duration, p CostParams) float64 {
	horizon := time.Hour
	if hold, miss := p.hold(), p.miss(1); hold > 0 && miss > 0 {
		// The bound keeps the duration from overflowing when holding costs next to nothing.
		horizon = time.Duration(min(miss/hold, 24*time.Hour.Seconds()) * float64(time.Second))
	}
	return h.ArrivalProbability(age, horizon) * p.ColdStart.Seconds() * max(p.Weights.ColdStart, 1e-9)
}

// Cost unloads a target once the least expected cost of holding it on exceeds that of a cold start.
type Cost struct{ module }

// ShouldUnload implements Policy.
func (*Cost) ShouldUnload(h *Histogram, age time.Duration, p CostParams) bool {
	hold, miss := p.hold(), p.miss(h.waiters(p.ColdStart))
	if hold <= 0 {
		return false
	}
	return h.stop(age.Seconds(), hold, miss) >= miss
}

// Fixed unloads a target after a fixed time without requests.
type Fixed struct {
	module
	KeepAlive time.Duration
}

// Provision takes the setting keepalive, a duration such as "10m".
func (f *Fixed) Provision(_ context.Context, s kernel.Settings) error {
	var err error
	f.KeepAlive, err = time.ParseDuration(s.Take("keepalive", DefaultKeepAlive.String()))
	return fault.Wrap(err, fault.StepSettings, FixedID, "setting keepalive")
}

// Validate checks that the keep-alive time is not negative.
func (f *Fixed) Validate() error {
	if f.KeepAlive < 0 {
		return fault.New(fault.StepSettings, FixedID, "setting keepalive is negative")
	}
	return nil
}

// ShouldUnload implements Policy.
func (f *Fixed) ShouldUnload(_ *Histogram, age time.Duration, _ CostParams) bool {
	return age >= f.KeepAlive
}

// Never keeps every target until its memory is needed.
type Never struct{ module }

// ShouldUnload implements Policy.
func (*Never) ShouldUnload(*Histogram, time.Duration, CostParams) bool { return false }

// module is the life cycle of a policy without settings.
type module struct{}

func (module) Provision(context.Context, kernel.Settings) error { return nil }
func (module) Validate() error                                  { return nil }
func (module) Cleanup() error                                   { return nil }

var (
	_ Policy = (*Cost)(nil)
	_ Policy = (*Fixed)(nil)
	_ Policy = (*Never)(nil)
)
