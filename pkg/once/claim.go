package once

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// nextOwners returns the owners that this agent writes next and the slots that the write releases, and reports whether
// the owners differ from the object as last read.
func (s *State) nextOwners(now time.Time, svc *service) (Owners, []int, bool) {
	s.markReleases(now, svc)
	next := svc.owners
	plan := s.planOf(svc)
	var released []int
	for i := range next.Slots {
		slot, local := &next.Slots[i], &svc.slots[i]
		switch {
		case slot.Owner == s.vm && !local.owned:
			// After this write, a handover sent by an earlier process on this VM can no longer take effect.
			slot.FloorMS = max(slot.FloorMS, s.startMS+ClockAllowance.Milliseconds())
			slot.Epoch++
		case local.releasing && local.running == 0:
			*slot = Slot{Epoch: slot.Epoch + 1, FloorMS: max(local.floorMS, local.highestMS)}
			released = append(released, i)
		case s.mayClaim(now, svc, plan, i):
			floor := slot.FloorMS
			if slot.Owner != "" {
				floor = max(floor, now.UnixMilli())
			}
			*slot = Slot{Owner: s.vm, Epoch: slot.Epoch + 1, FloorMS: floor}
		}
	}
	return next, released, next != svc.owners
}

// markReleases stops admission to all slots while draining, or to one slot while this process owns more than its fair
// share.
func (s *State) markReleases(now time.Time, svc *service) {
	if s.draining {
		for i := range svc.slots {
			svc.slots[i].releasing = svc.slots[i].owned
		}
		return
	}
	if svc.excessSince.IsZero() || now.Sub(svc.excessSince) < balanceDelay {
		return
	}
	plan := s.planOf(svc)
	for i := range svc.slots {
		if svc.slots[i].owned && plan.owner[i] != s.vm {
			svc.slots[i].releasing = true
			svc.excessSince = now.Add(retryDelay - balanceDelay)
			return
		}
	}
}

// updateTimers updates since when slots are claimable and since when this process owns more than its fair share.
func (s *State) updateTimers(now time.Time, svc *service) {
	for i := range svc.claimableSince {
		owner := svc.owners.Slots[i].Owner
		switch claimable := svc.wasRead && (owner == "" || s.gone[owner]); {
		case !claimable:
			svc.claimableSince[i] = time.Time{}
		case svc.claimableSince[i].IsZero():
			svc.claimableSince[i] = now
		}
	}
	owned, releasing := 0, false
	for i := range svc.slots {
		if svc.slots[i].owned {
			owned++
		}
		releasing = releasing || svc.slots[i].releasing
	}
	switch excess := len(s.live) > 0 && owned > fairShare(len(s.live)) && !releasing; {
	case !excess && !releasing:
		svc.excessSince = time.Time{}
	case excess && svc.excessSince.IsZero():
		svc.excessSince = now
	}
}

// mayClaim reports whether this agent claims a slot now. The agent that the plan names claims at once and the others at
// staggered times, so that agents do not race for a slot, and a slot is claimed even if the planned agent is
// unresponsive.
func (s *State) mayClaim(now time.Time, svc *service, plan *plan, slot int) bool {
	if s.draining || svc.claimableSince[slot].IsZero() || svc.owners.Slots[slot].Owner == s.vm || !slices.Contains(s.live, s.vm) {
		return false
	}
	if plan.owner[slot] == s.vm {
		return true
	}
	rank := 1 + slices.Index(rendezvous(svc.name, slot, s.live), s.vm)
	return now.Sub(svc.claimableSince[slot]) >= time.Duration(rank)*claimStagger
}

// fairShare returns the largest number of slots that one of n agents owns in a balanced state.
func fairShare(n int) int { return (Slots + n - 1) / n }

// plan is the assignment of each slot to the live agent that should own it.
type plan struct{ owner [Slots]string }

// planOf returns the plan for the current members. The plan is cached until they change, because it costs a hash for
// each slot and agent.
func (s *State) planOf(svc *service) *plan {
	if svc.plan == nil {
		svc.plan = s.newPlan(svc.name)
	}
	return svc.plan
}

// newPlan assigns each slot to the first agent in its rendezvous order that has fewer slots than the fair share. All
// agents with the same view compute the same plan without exchanging messages.
func (s *State) newPlan(serviceName string) *plan {
	p := new(plan)
	if len(s.live) == 0 {
		return p
	}
	limit := fairShare(len(s.live))
	load := map[string]int{}
	for i := range p.owner {
		for _, vm := range rendezvous(serviceName, i, s.live) {
			if load[vm] < limit {
				p.owner[i] = vm
				load[vm]++
				break
			}
		}
	}
	return p
}

// rendezvous returns the VMs sorted by their hash with the slot, the highest first (highest random weight hashing,
// Thaler and Ravishankar 1998).
func rendezvous(serviceName string, slot int, vms []string) []string {
	prefix := serviceName + "\x00" + strconv.Itoa(slot) + "\x00"
	weight := make(map[string]uint64, len(vms))
	for _, vm := range vms {
		weight[vm] = xxhash.Sum64String(prefix + vm)
	}
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b string) int {
		if weight[a] != weight[b] {
			if weight[a] > weight[b] {
				return -1
			}
			return 1
		}
		if a < b {
			return -1
		}
		return 1
	})
	return out
}
