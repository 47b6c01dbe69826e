// Package routing decides which upstream gets a request, what happens after a failed attempt and how many retries are
// allowed. It is pure: time and the random source are passed in.
package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Upstream is one upstream that a router may send to.
type Upstream struct {
	VM          string
	Incarnation string // of the agent process
	Addr        string // "ip:port" of the agent
	Region      string
	Zone        string
	Group       string
	MemoryBytes int64
	Tiers       map[string]engine.Tier // checkpoint copies by model, remote left out
	Draining    bool                   // by its own record or by the VM list
}

// View is what the router knows of the deployment. It lags and is never changed after SetView.
type View struct {
	Upstreams []Upstream
	Grants    map[string]grant.Object // by model
	Owners    map[string]once.Owners  // by service
}

// Criteria describes a request that needs an upstream.
type Criteria struct {
	Kind    wire.Kind
	Service string
	Group   string
	Target  engine.Target
	// MemoryBytes is what a load of the target's base model needs, bytes.
	MemoryBytes int64
	// Ceiling is the voted number of replicas.
	Ceiling int
	// Remaining is the time to the deadline.
	Remaining time.Duration
	// PrefixHash names the beginning of the prompt; 0 for none.
	PrefixHash    uint64
	NonIdempotent bool
	// FirstSend says that the key was never sent before, so the call is new work.
	FirstSend bool
	Slot      uint32
	// Exclude holds VMs that failed this request, Hints those that another agent named.
	Exclude []string
	Hints   []string
}

// Choice is the chosen upstream.
type Choice struct {
	Upstream Upstream
	// Epoch is the slot's epoch for a non-idempotent call.
	Epoch uint64
	// AcquireGrant says that the upstream holds no grant and is asked to acquire one.
	AcquireGrant bool
}

// place is how far an upstream is from the router.
type place uint8

const (
	placeZone place = iota
	placeRegion
	placeElsewhere
)

// node is an upstream with what this router knows of its load.
type node struct {
	Upstream
	place        place
	outstanding  int
	load         wire.Load
	loadAt       time.Time
	avoidUntil   time.Time
	refusedUntil time.Time // not chosen before, while others can be
	refusals     int       // in a row, for the length of the next avoidance
}

// freshReport is how long a reported queue makes an upstream lose ties. Reports come with Accept, End and, in a stream
// without data, each 0.5 s.
const freshReport = time.Second

// reportLife is how long a reported load counts. Reports come with each ping, so an older one describes another queue.
const reportLife = 5 * time.Second

// score orders candidates, the lowest first: by the requests that this router has outstanding there, and among equal ones
// those last whose agent has just reported a queue. A router's own count is exact. A report is old when it arrives, and
// routers that add it to their counts all choose the upstream that was idle then (docs/measurements.md).
func (n *node) score(now time.Time) int {
	score := 2 * n.outstanding
	if n.load.Queued > 0 && now.Sub(n.loadAt) <= freshReport {
		score++
	}
	return score
}

// wait is the predicted wait for a new request.
func (n *node) wait(now time.Time) time.Duration {
	if now.Sub(n.loadAt) > reportLife {
		return 0
	}
	return time.Duration(n.load.PredictedWaitMS) * time.Millisecond
}

func (n *node) draining() bool { return n.Draining || n.load.Draining }

// State chooses upstreams. It is not safe for concurrent use.
type State struct {
	region, zone string
	random       Random
	nodes        []*node // sorted by VM
	byVM         map[string]*node
	grants       map[string]grant.Object
	owners       map[string]once.Owners
	affinity     affinity
}

// Random is a seeded source of random numbers; *math/rand/v2.Rand implements it.
type Random interface{ IntN(n int) int }

// NewState returns a state without upstreams for a router in a region and zone.
func NewState(region, zone string, random Random) *State {
	return &State{region: region, zone: zone, random: random, byVM: map[string]*node{}, affinity: newAffinity()}
}

// SetView replaces the view. What is known of the load at agents that stay is kept.
func (s *State) SetView(v View) {
	byVM := make(map[string]*node, len(v.Upstreams))
	nodes := make([]*node, 0, len(v.Upstreams))
	for _, u := range v.Upstreams {
		n := s.byVM[u.VM]
		if n == nil || n.Addr != u.Addr || n.Incarnation != u.Incarnation {
			n = &node{}
		}
		n.Upstream, n.place = u, s.placeOf(u)
		byVM[u.VM] = n
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *node) int { return strings.Compare(a.VM, b.VM) })
	s.nodes, s.byVM, s.grants, s.owners = nodes, byVM, v.Grants, v.Owners
}

func (s *State) placeOf(u Upstream) place {
	switch {
	case u.Region == s.region && u.Zone == s.zone:
		return placeZone
	case u.Region == s.region:
		return placeRegion
	}
	return placeElsewhere
}

// Begin counts a request sent to the VM; End takes it back.
func (s *State) Begin(vm string) {
	if n := s.byVM[vm]; n != nil {
		n.outstanding++
	}
}

// End counts a request as finished at the VM.
func (s *State) End(vm string) {
	if n := s.byVM[vm]; n != nil && n.outstanding > 0 {
		n.outstanding--
	}
}

// ApplyLoad records the load that the VM's agent reported. It reports whether the agent began to drain.
func (s *State) ApplyLoad(vm string, l wire.Load, now time.Time) (draining bool) {
	n := s.byVM[vm]
	if n == nil {
		return false
	}
	draining = l.Draining && !n.draining()
	n.load, n.loadAt, n.avoidUntil = l, now, time.Time{}
	return draining
}

// avoidFor is how long an upstream that could not be reached is not chosen while others can be. It covers one failed
// dial and is short enough for a restarted agent to be found again.
const avoidFor = 2 * time.Second

// maxAvoid bounds how long an upstream that refuses again and again is left out. The time doubles with each refusal, since every
// probe costs a place in the retry budget.
const maxAvoid = 30 * time.Second

// RecordUnreachable records that the VM could not be reached or that its path is dead. A report from it ends this.
func (s *State) RecordUnreachable(vm string, now time.Time) {
	if n := s.byVM[vm]; n != nil {
		n.avoidUntil = now.Add(avoidFor)
	}
}

// RecordRefusal records that the VM's agent refused a request. An upstream that refuses at once has no outstanding requests, so it
// would attract all others. Avoiding it for a while keeps most requests from spending their retries there.
func (s *State) RecordRefusal(vm string, code wire.Code, now time.Time) {
	n := s.byVM[vm]
	if n == nil {
		return
	}
	switch code {
	case wire.CodeUpstreamDown, wire.CodeNoConfig:
		if now.Sub(n.refusedUntil) > maxAvoid {
			n.refusals = 0
		}
		// A report does not end this, as it does not say whether the upstream behind the agent works again.
		n.refusedUntil = now.Add(min(avoidFor<<min(n.refusals, 8), maxAvoid))
		n.refusals++
	case wire.CodeQueueFull, wire.CodeTooLate:
		n.load.Queued, n.loadAt = max(1, n.load.Queued), now
	}
}

// CrossRegion reports whether traffic to the VM leaves the router's region.
func (s *State) CrossRegion(vm string) bool {
	n := s.byVM[vm]
	return n != nil && n.place == placeElsewhere
}

// Counts summarizes the state for operators.
type Counts struct {
	Upstreams   int
	Candidates  int // upstreams that may get new work
	Outstanding int // requests of this router at upstreams
}

// Counts returns the summary.
func (s *State) Counts() Counts {
	c := Counts{Upstreams: len(s.nodes)}
	for _, n := range s.nodes {
		if !n.draining() {
			c.Candidates++
		}
		c.Outstanding += n.outstanding
	}
	return c
}
