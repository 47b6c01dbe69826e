package idle

import (
	"context"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
)

// IDs of the policy modules.
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

// CostParams contains the two weights of the configuration and the quantities to which they apply.
type CostParams struct {
	Weights config.Weights
	// Accelerators is the number of accelerators that the resident target occupies.
	Accelerators int
	// ColdStart is the expected time to load the target again.
	ColdStart time.Duration
}

// coldStartCost returns the cost of one cold start: requests wait for it, and it occupies the accelerators without
// serving.
func (p CostParams) coldStartCost(waiters float64) float64 {
	return (waiters*p.Weights.ColdStart + p.holdingRate()) * p.ColdStart.Seconds()
}

// holdingRate returns the cost of keeping the target loaded and idle for one second.
func (p CostParams) holdingRate() float64 {
	return p.Weights.IdleAccelerator * float64(p.Accelerators) / time.Hour.Seconds()
}

// Policy decides when to unload a resident target that no request uses.
type Policy interface {
	// ShouldUnload reports whether to unload a target that has been idle for age.
	ShouldUnload(h *Histogram, age time.Duration, p CostParams) bool
}

// UnloadCost returns the expected cost of unloading a target that has been idle for age: the cost of a cold start,
// weighted by the probability that a request arrives within the time in which keeping the target loaded costs as much.
// Eviction starts with the target that has the lowest cost for each byte.
func UnloadCost(h *Histogram, age time.Duration, p CostParams) float64 {
	horizon := time.Hour
	if rate, coldStart := p.holdingRate(), p.coldStartCost(1); rate > 0 && coldStart > 0 {
		// The bound prevents an overflow of the duration when the holding rate is close to 0.
		horizon = time.Duration(min(coldStart/rate, 24*time.Hour.Seconds()) * float64(time.Second))
	}
	return h.ArrivalProbability(age, horizon) * p.ColdStart.Seconds() * max(p.Weights.ColdStart, 1e-9)
}

// Cost unloads a target once the least expected cost of keeping it loaded reaches that of a cold start.
type Cost struct{ module }

// ShouldUnload implements Policy.
func (*Cost) ShouldUnload(h *Histogram, age time.Duration, p CostParams) bool {
	rate, coldStart := p.holdingRate(), p.coldStartCost(h.expectedWaiters(p.ColdStart))
	if rate <= 0 {
		return false
	}
	return h.minHoldingCost(age.Seconds(), rate, coldStart) >= coldStart
}

// Fixed unloads a target after a fixed time without requests.
type Fixed struct {
	module
	KeepAlive time.Duration
}

// Provision reads the setting keepalive, a duration such as "10m".
func (f *Fixed) Provision(_ context.Context, s kernel.Settings) error {
	var err error
	f.KeepAlive, err = time.ParseDuration(s.Take("keepalive", DefaultKeepAlive.String()))
	return fault.Wrap(err, fault.StepSettings, FixedID, "parse setting keepalive")
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

// Never keeps every target loaded until its memory is needed.
type Never struct{ module }

// ShouldUnload implements Policy.
func (*Never) ShouldUnload(*Histogram, time.Duration, CostParams) bool { return false }

// module implements the life cycle of a policy without settings.
type module struct{}

func (module) Provision(context.Context, kernel.Settings) error { return nil }
func (module) Validate() error                                  { return nil }
func (module) Cleanup() error                                   { return nil }

var (
	_ Policy = (*Cost)(nil)
	_ Policy = (*Fixed)(nil)
	_ Policy = (*Never)(nil)
)
