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

// Choose returns the upstream for a request. If there is none, the code says why.
func (s *State) Choose(now time.Time, a Criteria) (Choice, wire.Code) {
	switch {
	case a.NonIdempotent:
		return s.chooseOwner(a)
	case a.Kind == wire.KindPlain:
		return s.choosePlain(now, a)
	}
	return s.chooseModel(now, a)
}

// eligible returns the upstreams of the ask's group that may get new work, without those that failed it. Upstreams
// that could not be reached lately are left out while there are others.
func (s *State) eligible(now time.Time, a Criteria) []*node {
	all := make([]*node, 0, len(s.nodes))
	var avoided []*node
	for _, n := range s.nodes {
		switch {
		case n.Group != a.Group || n.draining() || slices.Contains(a.Exclude, n.VM):
		case now.Before(n.avoidUntil), now.Before(n.refusedUntil):
			avoided = append(avoided, n)
		default:
			all = append(all, n)
		}
	}
	if len(all) == 0 {
		return avoided
	}
	return all
}

func (s *State) choosePlain(now time.Time, a Criteria) (Choice, wire.Code) {
	best := s.better(now, nearest(s.eligible(now, a)), a)
	if best == nil {
		return Choice{}, wire.CodeNoUpstream
	}
	return Choice{Upstream: best.Upstream}, ""
}

// chooseOwner returns the owner of the key's slot. A draining owner gets no first sends, but it still gets repeated
// ones, because it can join them with a call that runs or give the stored answer. A slot without an owner goes to the
// first upstream of the common order, so that all routers ask the same agent to claim it.
func (s *State) chooseOwner(a Criteria) (Choice, wire.Code) {
	slot := s.owners[a.Service].Slots[a.Slot]
	vm := slot.Owner
	if len(a.Hints) > 0 {
		vm = a.Hints[0]
	}
	if vm != "" {
		n := s.byVM[vm]
		switch {
		case n == nil || slices.Contains(a.Exclude, vm):
			return Choice{}, wire.CodeUpstreamDown
		case n.draining() && a.FirstSend:
			return Choice{}, wire.CodeDraining
		}
		return Choice{Upstream: n.Upstream, Epoch: slot.Epoch}, ""
	}
	all := slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool {
		return n.Group != a.Group || n.draining() || slices.Contains(a.Exclude, n.VM)
	})
	if len(all) == 0 {
		return Choice{}, wire.CodeNoUpstream
	}
	name := a.Service + "\x00" + strconv.Itoa(int(a.Slot))
	best := slices.MinFunc(all, func(x, y *node) int { return rendezvous(name, x, y) })
	return Choice{Upstream: best.Upstream, Epoch: slot.Epoch}, ""
}

func (s *State) chooseModel(now time.Time, a Criteria) (Choice, wire.Code) {
	all := s.eligible(now, a)
	if len(all) == 0 {
		return Choice{}, wire.CodeNoUpstream
	}
	g := s.grants[a.Target.Model]
	var holders, others []*node
	for _, n := range all {
		switch {
		case slices.Contains(a.Hints, n.VM):
			holders = append(holders, n)
		case slices.ContainsFunc(g.Grants, func(x grant.Grant) bool { return x.VM == n.VM }):
			holders = append(holders, n)
		case n.MemoryBytes == 0 || n.MemoryBytes >= a.MemoryBytes:
			others = append(others, n)
		}
	}
	if best := s.amongHolders(now, holders, a); best != nil {
		mayExpand := len(g.Grants) < a.Ceiling && len(others) > 0
		if !mayExpand || best.wait(now) <= a.Remaining/2 {
			return Choice{Upstream: best.Upstream}, ""
		}
	}
	if len(others) == 0 {
		return Choice{}, wire.CodeNoUpstream
	}
	best := slices.MinFunc(others, func(x, y *node) int { return coldOrder(a.Target.Model, x, y) })
	return Choice{Upstream: best.Upstream, AcquireGrant: true}, ""
}

// amongHolders returns the holder to use. It looks farther away when the predicted wait nearby exceeds half of the time
// to the deadline.
func (s *State) amongHolders(now time.Time, holders []*node, a Criteria) *node {
	var first *node
	for rest := holders; len(rest) > 0; {
		near := nearest(rest)
		best := s.pickHolder(now, near, a)
		if best.wait(now) <= a.Remaining/2 {
			return best
		}
		if first == nil || best.wait(now) < first.wait(now) {
			first = best
		}
		rest = slices.DeleteFunc(slices.Clone(rest), func(n *node) bool { return n.place <= near[0].place })
	}
	return first
}

// pickHolder places an adapter by rendezvous hashing, so that it stays loaded on few upstreams, and other requests by
// the lowest score.
func (s *State) pickHolder(now time.Time, near []*node, a Criteria) *node {
	if a.Target.Adapter == "" {
		return s.better(now, near, a)
	}
	order := slices.Clone(near)
	slices.SortFunc(order, func(x, y *node) int { return rendezvous(a.Target.Adapter, x, y) })
	if len(order) > 1 && order[1].outstanding+affinitySlack < order[0].outstanding {
		return order[1]
	}
	return order[0]
}

// better returns a candidate with the lowest score; among those, the one that has the prompt's prefix in its cache. It
// returns nil if there is no candidate.
func (s *State) better(now time.Time, near []*node, a Criteria) *node {
	if len(near) == 0 {
		return nil
	}
	x := s.least(now, near)
	if a.PrefixHash == 0 {
		return x
	}
	vm := s.affinity.get(a.PrefixHash)
	if i := slices.IndexFunc(near, func(n *node) bool { return n.VM == vm }); i >= 0 {
		if near[i].score(now) <= x.score(now) {
			x = near[i]
		}
	}
	s.affinity.put(a.PrefixHash, x.VM)
	return x
}

// least returns the candidate with the lowest score, at random among equal ones.
func (s *State) least(now time.Time, near []*node) *node {
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

// nearest returns the candidates of the nearest place that has any.
func nearest(nodes []*node) []*node {
	for p := placeZone; p <= placeElsewhere; p++ {
		var near []*node
		for _, n := range nodes {
			if n.place == p {
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

// coldOrder is the order in which all routers ask upstreams to load a model: the cheapest copy first, then by hash. It
// leaves the router's own place out, so that a burst at many routers reaches one agent and causes one load.
func coldOrder(model string, x, y *node) int {
	if d := tierRank(x, model) - tierRank(y, model); d != 0 {
		return d
	}
	return rendezvous(model, x, y)
}

// rendezvous orders by the hash of name and VM, the highest first.
func rendezvous(name string, x, y *node) int {
	hx, hy := xxhash.Sum64String(name+"\x00"+x.VM), xxhash.Sum64String(name+"\x00"+y.VM)
	switch {
	case hx > hy:
		return -1
	case hx < hy:
		return 1
	}
	return 0
}
