package policybench

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/routing"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Chooser is how a router chooses among the upstreams that hold the model.
type Chooser string

// Choosers. All but ChooseRouting are baselines.
const (
	// ChooseRouting is package routing.
	ChooseRouting Chooser = "routing"
	// ChooseRandom is uniformly random.
	ChooseRandom Chooser = "random"
	// ChooseLeastOutstanding takes an upstream with the fewest outstanding requests of this router, at random among equal ones.
	ChooseLeastOutstanding Chooser = "least outstanding"
)

// RetryRule is when a refused request may go to another upstream. None sends a request to the same upstream twice.
type RetryRule string

// Retry rules. All but RetryBudget are baselines.
const (
	// RetryBudget is package routing's budget.
	RetryBudget    RetryRule = "budget"
	RetryUnlimited RetryRule = "unlimited"
	RetryNone      RetryRule = "none"
)

// fleetModel is the model that all requests are for.
const fleetModel = "m"

// fleetRouter is one router.
type fleetRouter struct {
	fleet       Fleet
	state       *routing.State
	budget      routing.Budget
	outstanding []int // of this router, by upstream
	rng         *rand.Rand
}

func newFleetRouter(id int, f Fleet, seed uint64) *fleetRouter {
	rng := rand.New(rand.NewPCG(seed, 100+uint64(id)))
	region := strconv.Itoa(routerRegion(id))
	r := &fleetRouter{fleet: f, state: routing.NewState(region, "a", rng), outstanding: make([]int, len(fleetSpeeds)), rng: rng}
	v := routing.View{Grants: map[string]grant.Object{}}
	o := grant.Object{Ceiling: len(fleetSpeeds)}
	for i := range fleetSpeeds {
		u := routing.Upstream{VM: vmOf(i), Addr: vmOf(i), Group: "g", Region: strconv.Itoa(regionOf(i)), Zone: "a"}
		if f.NoLocality {
			u.Region = region
		}
		v.Upstreams = append(v.Upstreams, u)
		o.Grants = append(o.Grants, grant.Grant{VM: vmOf(i)})
	}
	v.Grants[fleetModel] = o
	r.state.SetView(v)
	return r
}

// choose returns the number of the upstream for a request with the given time left.
func (r *fleetRouter) choose(now time.Time, q *fleetRequest, left time.Duration) (int, bool) {
	if r.fleet.Chooser == ChooseRouting {
		return r.chooseRouting(now, q, left)
	}
	var all []int
	for i := range fleetSpeeds {
		if !slices.Contains(q.exclude, vmOf(i)) {
			all = append(all, i)
		}
	}
	if r.fleet.Chooser == ChooseLeastOutstanding && len(all) > 0 {
		least := slices.MinFunc(all, func(a, b int) int { return r.outstanding[a] - r.outstanding[b] })
		all = slices.DeleteFunc(all, func(i int) bool { return r.outstanding[i] > r.outstanding[least] })
	}
	if len(all) == 0 {
		return 0, false
	}
	return all[r.rng.IntN(len(all))], true
}

func (r *fleetRouter) chooseRouting(now time.Time, q *fleetRequest, left time.Duration) (int, bool) {
	a := routing.Criteria{Kind: wire.KindModel, Group: "g", Target: engine.Target{Model: fleetModel}, Ceiling: len(fleetSpeeds), Remaining: left, PrefixHash: q.prefix, Exclude: q.exclude}
	if r.fleet.NoAffinity {
		a.PrefixHash = 0
	}
	c, code := r.state.Choose(now, a)
	if code != "" {
		return 0, false
	}
	return slices.IndexFunc(fleetNames, func(vm string) bool { return vm == c.Upstream.VM }), true
}

// fleetNames are the VM ids of the upstreams.
var fleetNames = func() []string {
	var out []string
	for i := range fleetSpeeds {
		out = append(out, vmOf(i))
	}
	return out
}()

// mayRetry reports whether a further attempt is allowed, and counts it.
func (r *fleetRouter) mayRetry(now time.Time) bool {
	switch r.fleet.Retries {
	case RetryBudget:
		return r.budget.AllowRetry(now)
	case RetryUnlimited:
		return true
	}
	return false
}

// end counts a request as finished at the upstream.
func (r *fleetRouter) end(upstream int) {
	r.state.End(vmOf(upstream))
	r.outstanding[upstream]--
}
