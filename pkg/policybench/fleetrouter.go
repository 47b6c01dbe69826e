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

// Chooser is the rule by which a router chooses among the upstreams with a grant for the model.
type Chooser string

// Choosers. All but ChooseRouting are baselines.
const (
	// ChooseRouting uses package routing.
	ChooseRouting Chooser = "routing"
	// ChooseRandom chooses uniformly at random.
	ChooseRandom Chooser = "random"
	// ChooseLeastOutstanding chooses an upstream with the fewest outstanding requests of this router, at random if several
	// have equally few.
	ChooseLeastOutstanding Chooser = "least outstanding"
)

// RetryRule decides whether a refused request may be retried at another upstream. No rule sends a request to the same
// upstream twice.
type RetryRule string

// Retry rules. All but RetryBudget are baselines.
const (
	// RetryBudget uses the retry budget of package routing.
	RetryBudget    RetryRule = "budget"
	RetryUnlimited RetryRule = "unlimited"
	RetryNone      RetryRule = "none"
)

// fleetModel is the model of all requests.
const fleetModel = "m"

// fleetRouter is one simulated router.
type fleetRouter struct {
	fleet       Fleet
	state       *routing.State
	budget      routing.Budget
	outstanding []int // requests of this router by upstream
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

// choose returns the index of the upstream for a request with the given time remaining, and whether there is one.
func (r *fleetRouter) choose(now time.Time, q *fleetRequest, remaining time.Duration) (int, bool) {
	if r.fleet.Chooser == ChooseRouting {
		return r.chooseRouting(now, q, remaining)
	}
	var candidates []int
	for i := range fleetSpeeds {
		if !slices.Contains(q.exclude, vmOf(i)) {
			candidates = append(candidates, i)
		}
	}
	if r.fleet.Chooser == ChooseLeastOutstanding && len(candidates) > 0 {
		least := slices.MinFunc(candidates, func(a, b int) int { return r.outstanding[a] - r.outstanding[b] })
		candidates = slices.DeleteFunc(candidates, func(i int) bool { return r.outstanding[i] > r.outstanding[least] })
	}
	if len(candidates) == 0 {
		return 0, false
	}
	return candidates[r.rng.IntN(len(candidates))], true
}

func (r *fleetRouter) chooseRouting(now time.Time, q *fleetRequest, remaining time.Duration) (int, bool) {
	criteria := routing.Criteria{Kind: wire.KindModel, Group: "g", Target: engine.Target{Model: fleetModel}, Ceiling: len(fleetSpeeds), Remaining: remaining, PrefixHash: q.prefix, Exclude: q.exclude}
	if r.fleet.NoAffinity {
		criteria.PrefixHash = 0
	}
	c, code := r.state.Choose(now, criteria)
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

// mayRetry reports whether a retry is allowed, and counts it against the budget.
func (r *fleetRouter) mayRetry(now time.Time) bool {
	switch r.fleet.Retries {
	case RetryBudget:
		return r.budget.AllowRetry(now)
	case RetryUnlimited:
		return true
	}
	return false
}

// end records that a request has ended at the upstream.
func (r *fleetRouter) end(upstream int) {
	r.state.End(vmOf(upstream))
	r.outstanding[upstream]--
}
