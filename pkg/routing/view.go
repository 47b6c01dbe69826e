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

// Upstream is an upstream to which a router may send requests.
type Upstream struct {
	VM          string
	Incarnation string // of the agent process
	Addr        string // "ip:port" of the agent
	Region      string
	Zone        string
	Group       string
	MemoryBytes int64
	Tiers       map[string]engine.Tier // tiers of cached copies by model, without the weight store
	Draining    bool                   // by its own record or by the VM list
}

// View is the router's view of the deployment. It may lag and is not changed after SetView.
type View struct {
	Upstreams []Upstream
	Grants    map[string]grant.Object // by model
	Owners    map[string]once.Owners  // by service
}

// Criteria are the criteria for choosing an upstream for a request.
type Criteria struct {
	Kind    wire.Kind
	Service string
	Group   string
	Target  engine.Target
	// MemoryBytes is the memory needed to load the target's base model.
	MemoryBytes int64
	// Ceiling is the configured limit on loaded replicas of the model.
	Ceiling int
	// Remaining is the time to the deadline.
	Remaining time.Duration
	// PrefixHash is a hash of the beginning of the prompt; 0 means none.
	PrefixHash    uint64
	NonIdempotent bool
	// FirstSend reports that the key was never sent before, so the call is new work.
	FirstSend bool
	Slot      uint32
	// NoRetry reports that the retry budget allows no further attempt if this one fails.
	NoRetry bool
	// Exclude are VMs at which this request failed, Hints those that an agent named in a refusal.
	Exclude []string
	Hints   []string
}

// Choice is the chosen upstream.
type Choice struct {
	Upstream Upstream
	// Epoch is the key slot's epoch for a non-idempotent call.
	Epoch uint64
	// AcquireGrant reports that the upstream has no grant and is asked to acquire one.
	AcquireGrant bool
}

// distance is how far an upstream is from the router.
type distance uint8

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

// node is an upstream with this router's record of its load.
type node struct {
	Upstream
	distance     distance
	outstanding  int
	load         wire.Load
	loadAt       time.Time
	avoidUntil   time.Time
	unreachable  bool      // has not reported since it could not be reached
	refusedUntil time.Time // avoided until then while other upstreams are eligible
	refusals     int       // consecutive refusals, which set the length of the next avoidance
}

// maxQueueReportAge is how long a reported queue makes an upstream lose ties. Reports come with Accept, End and, in a
// stream without data, every 0.5 s.
const maxQueueReportAge = time.Second

// maxLoadReportAge is how long a reported load is used. Each ping carries a report, so an older one no longer describes
// the queue.
const maxLoadReportAge = 5 * time.Second

// score ranks candidates, the lowest first: by the number of requests that this router has outstanding there. Among
// equal ones, those whose agent has just reported a queue come last. A router's own count is exact. Reports are old
// when they arrive, and routers that add them to their counts all choose the upstream that was idle then
// (docs/measurements.md).
func (n *node) score(now time.Time) int {
	score := 2 * n.outstanding
	if n.load.Queued > 0 && now.Sub(n.loadAt) <= maxQueueReportAge {
		score++
	}
	return score
}

// predictedWait returns the predicted wait for a new request, or 0 without a recent report.
func (n *node) predictedWait(now time.Time) time.Duration {
	if now.Sub(n.loadAt) > maxLoadReportAge {
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

// Random is a source of random numbers; *math/rand/v2.Rand implements it.
type Random interface{ IntN(n int) int }

// NewState returns a state without upstreams for a router in the given region and zone.
func NewState(region, zone string, random Random) *State {
	return &State{region: region, zone: zone, random: random, byVM: map[string]*node{}, affinity: newAffinity()}
}

// SetView replaces the view. It keeps the recorded load of agents that stay at their address and incarnation.
func (s *State) SetView(v View) {
	byVM := make(map[string]*node, len(v.Upstreams))
	nodes := make([]*node, 0, len(v.Upstreams))
	for _, u := range v.Upstreams {
		n := s.byVM[u.VM]
		if n == nil || n.Addr != u.Addr || n.Incarnation != u.Incarnation {
			n = &node{}
		}
		n.Upstream, n.distance = u, s.distanceOf(u)
		byVM[u.VM] = n
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *node) int { return strings.Compare(a.VM, b.VM) })
	s.nodes, s.byVM, s.grants, s.owners = nodes, byVM, v.Grants, v.Owners
}

func (s *State) distanceOf(u Upstream) distance {
	switch {
	case u.Region == s.region && u.Zone == s.zone:
		return sameZone
	case u.Region == s.region:
		return sameRegion
	}
	return otherRegion
}

// Begin counts a request sent to the VM until End is called for it.
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

// ApplyLoad records the load that the VM's agent reported. It reports whether the agent started to drain.
func (s *State) ApplyLoad(vm string, l wire.Load, now time.Time) (draining bool) {
	n := s.byVM[vm]
	if n == nil {
		return false
	}
	draining = l.Draining && !n.draining()
	n.load, n.loadAt, n.avoidUntil, n.unreachable = l, now, time.Time{}, false
	return draining
}

// avoidDelay is how long an unreachable upstream is avoided while others are eligible. It covers one failed dial and is
// short enough for a restarted agent to be used again soon.
const avoidDelay = 2 * time.Second

// maxAvoidDelay bounds how long an upstream that keeps refusing is avoided. The delay doubles with each refusal, since
// every probe uses up a part of the retry budget.
const maxAvoidDelay = 30 * time.Second

// RecordUnreachable records that the VM could not be reached or that its path is dead. The next report from it clears
// this.
func (s *State) RecordUnreachable(vm string, now time.Time) {
	if n := s.byVM[vm]; n != nil {
		n.avoidUntil, n.unreachable = now.Add(avoidDelay), true
	}
}

// RecordRefusal records that the VM's agent refused a request. An upstream that refuses at once has no outstanding
// requests, so it would attract all others. Avoiding it for a while keeps most requests from spending their retries
// there.
func (s *State) RecordRefusal(vm string, code wire.Code, now time.Time) {
	n := s.byVM[vm]
	if n == nil {
		return
	}
	switch code {
	case wire.CodeUpstreamDown, wire.CodeNoConfig:
		if now.Sub(n.refusedUntil) > maxAvoidDelay {
			n.refusals = 0
		}
		// A report does not clear this, as it does not tell whether the upstream behind the agent works again.
		n.refusedUntil = now.Add(min(avoidDelay<<min(n.refusals, 8), maxAvoidDelay))
		n.refusals++
	case wire.CodeQueueFull, wire.CodeTooLate:
		n.load.Queued, n.loadAt = max(1, n.load.Queued), now
	}
}

// CrossRegion reports whether traffic to the VM leaves the router's region.
func (s *State) CrossRegion(vm string) bool {
	n := s.byVM[vm]
	return n != nil && n.distance == otherRegion
}

// Counts is a summary of the state for operators.
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
