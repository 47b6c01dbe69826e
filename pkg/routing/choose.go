package routing

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/grant"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Choose returns the upstream for a request. If there is none, the code is the reason.
func (s *State) Choose(now time.Time, c Criteria) (Choice, wire.Code) {
	switch {
	case c.NonIdempotent:
		return s.chooseOwner(c)
	case c.Kind == wire.KindPlain:
		return s.choosePlain(now, c)
	}
	return s.chooseModel(now, c)
}

// candidates returns the upstreams of the group that may get new work, without the excluded ones. Upstreams that
// recently were unreachable or refused requests are left out while there are others. So are those that have not reported
// since, if the request could not be retried elsewhere.
func (s *State) candidates(now time.Time, c Criteria) []*node {
	preferred := make([]*node, 0, len(s.nodes))
	var avoided []*node
	for _, n := range s.nodes {
		switch {
		case n.Group != c.Group || n.draining() || slices.Contains(c.Exclude, n.VM):
		case now.Before(n.avoidUntil), now.Before(n.refusedUntil), n.unreachable && c.NoRetry:
			avoided = append(avoided, n)
		default:
			preferred = append(preferred, n)
		}
	}
	if len(preferred) == 0 {
		return avoided
	}
	return preferred
}

func (s *State) choosePlain(now time.Time, c Criteria) (Choice, wire.Code) {
	best := s.pickByScore(now, nearest(s.candidates(now, c)), c)
	if best == nil {
		return Choice{}, wire.CodeNoUpstream
	}
	return Choice{Upstream: best.Upstream}, ""
}

// chooseOwner returns the owner of the key's slot. A draining owner gets no first sends, but it still gets retries,
// because it can attach them to a running call or return the stored answer. A slot without an owner goes to the
// first-ranked upstream, which is the same for all routers, so that they all ask the same agent to claim it.
func (s *State) chooseOwner(c Criteria) (Choice, wire.Code) {
	slot := s.owners[c.Service].Slots[c.Slot]
	vm := slot.Owner
	if len(c.Hints) > 0 {
		vm = c.Hints[0]
	}
	if vm != "" {
		n := s.byVM[vm]
		switch {
		case n == nil || slices.Contains(c.Exclude, vm):
			return Choice{}, wire.CodeUpstreamDown
		case n.draining() && c.FirstSend:
			return Choice{}, wire.CodeDraining
		}
		return Choice{Upstream: n.Upstream, Epoch: slot.Epoch}, ""
	}
	eligible := slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool {
		return n.Group != c.Group || n.draining() || slices.Contains(c.Exclude, n.VM)
	})
	if len(eligible) == 0 {
		return Choice{}, wire.CodeNoUpstream
	}
	name := c.Service + "\x00" + strconv.Itoa(int(c.Slot))
	best := slices.MinFunc(eligible, func(x, y *node) int { return compareRendezvous(name, x, y) })
	return Choice{Upstream: best.Upstream, Epoch: slot.Epoch}, ""
}

func (s *State) chooseModel(now time.Time, c Criteria) (Choice, wire.Code) {
	eligible := s.candidates(now, c)
	if len(eligible) == 0 {
		return Choice{}, wire.CodeNoUpstream
	}
	g := s.grants[c.Target.Model]
	var holders, others []*node
	for _, n := range eligible {
		switch {
		case slices.Contains(c.Hints, n.VM):
			holders = append(holders, n)
		case slices.ContainsFunc(g.Grants, func(x grant.Grant) bool { return x.VM == n.VM }):
			holders = append(holders, n)
		case n.MemoryBytes == 0 || n.MemoryBytes >= c.MemoryBytes:
			others = append(others, n)
		}
	}
	if best := s.chooseHolder(now, holders, c); best != nil {
		mayAddReplica := len(g.Grants) < c.Ceiling && len(others) > 0
		if !mayAddReplica || best.predictedWait(now) <= c.Remaining/2 {
			return Choice{Upstream: best.Upstream}, ""
		}
	}
	if len(others) == 0 {
		return Choice{}, wire.CodeNoUpstream
	}
	best := slices.MinFunc(others, func(x, y *node) int { return compareColdStart(c.Target.Model, x, y) })
	return Choice{Upstream: best.Upstream, AcquireGrant: true}, ""
}

// chooseHolder returns the holder to use; a holder is an upstream with a grant for the model. More distant holders are
// considered when the predicted wait at the nearer ones exceeds half of the time to the deadline.
func (s *State) chooseHolder(now time.Time, holders []*node, c Criteria) *node {
	var fallback *node
	for remaining := holders; len(remaining) > 0; {
		near := nearest(remaining)
		best := s.pickHolder(now, near, c)
		if best.predictedWait(now) <= c.Remaining/2 {
			return best
		}
		if fallback == nil || best.predictedWait(now) < fallback.predictedWait(now) {
			fallback = best
		}
		remaining = slices.DeleteFunc(slices.Clone(remaining), func(n *node) bool { return n.distance <= near[0].distance })
	}
	return fallback
}

// pickHolder selects by rendezvous hashing for an adapter, so that it stays loaded on few upstreams, and by the lowest
// score for other requests.
func (s *State) pickHolder(now time.Time, near []*node, c Criteria) *node {
	if c.Target.Adapter == "" {
		return s.pickByScore(now, near, c)
	}
	order := slices.Clone(near)
	slices.SortFunc(order, func(x, y *node) int { return compareRendezvous(c.Target.Adapter, x, y) })
	if len(order) > 1 && order[1].outstanding+affinitySlack < order[0].outstanding {
		return order[1]
	}
	return order[0]
}

// pickByScore returns a candidate with the lowest score. Among those it prefers the one that has the prompt's prefix
// cached. It returns nil if there is no candidate.
func (s *State) pickByScore(now time.Time, near []*node, c Criteria) *node {
	if len(near) == 0 {
		return nil
	}
	best := s.lowestScore(now, near)
	if c.PrefixHash == 0 {
		return best
	}
	vm := s.affinity.get(c.PrefixHash)
	if i := slices.IndexFunc(near, func(n *node) bool { return n.VM == vm }); i >= 0 {
		if near[i].score(now) <= best.score(now) {
			best = near[i]
		}
	}
	s.affinity.put(c.PrefixHash, best.VM)
	return best
}

// lowestScore returns a candidate with the lowest score, chosen at random among equal ones.
func (s *State) lowestScore(now time.Time, near []*node) *node {
	best, equal := near[0], 1
	for _, n := range near[1:] {
		switch d := n.score(now) - best.score(now); {
		case d < 0:
			best, equal = n, 1
		case d == 0:
			if equal++; s.random.IntN(equal) == 0 {
				best = n
			}
		}
	}
	return best
}

// nearest returns the candidates at the smallest distance.
func nearest(nodes []*node) []*node {
	for d := sameZone; d <= otherRegion; d++ {
		var near []*node
		for _, n := range nodes {
			if n.distance == d {
				near = append(near, n)
			}
		}
		if len(near) > 0 {
			return near
		}
	}
	return nil
}

func tierRank(n *node, model string) int {
	switch n.Tiers[model] {
	case engine.TierMemory:
		return 0
	case engine.TierDisk:
		return 1
	}
	return 2
}

// compareColdStart defines the order in which all routers ask upstreams to load a model: by the cost of the load from
// the cheapest cached copy, then by hash. It ignores the router's location, so that a burst at many routers reaches one
// agent and causes one load.
func compareColdStart(model string, x, y *node) int {
	if d := tierRank(x, model) - tierRank(y, model); d != 0 {
		return d
	}
	return compareRendezvous(model, x, y)
}

// compareRendezvous orders nodes by the hash of name and VM, the highest first.
func compareRendezvous(name string, x, y *node) int {
	hx, hy := xxhash.Sum64String(name+"\x00"+x.VM), xxhash.Sum64String(name+"\x00"+y.VM)
	switch {
	case hx > hy:
		return -1
	case hx < hy:
		return 1
	}
	return 0
}
