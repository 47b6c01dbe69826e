package once

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// next returns the owners as this agent wants them next, the slots that it releases thereby, and whether anything
// differs from the object as last read.
func (s *State) next(now time.Time, svc *service) (Owners, []int, bool) {
	s.markReleases(now, svc)
	next := svc.owners
	plan := s.planOf(svc)
	var released []int
	for i := range next.Slots {
		slot, h := &next.Slots[i], &svc.held[i]
		switch {
		case slot.Owner == s.vm && !h.held:
			// The write makes it impossible that a handover sent by an earlier process still takes effect.
			slot.FloorMS = max(slot.FloorMS, s.startMS+ClockAllowance.Milliseconds())
			slot.Epoch++
		case h.releasing && h.running == 0:
			*slot = Slot{Epoch: slot.Epoch + 1, FloorMS: max(h.floorMS, h.highestMS)}
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

// markReleases stops admission to all slots while draining, or to one slot while more than a fair share is held.
func (s *State) markReleases(now time.Time, svc *service) {
	if s.draining {
		for i := range svc.held {
			svc.held[i].releasing = svc.held[i].held
		}
		return
	}
	if svc.excess.IsZero() || now.Sub(svc.excess) < balanceDelay {
		return
	}
	plan := s.planOf(svc)
	for i := range svc.held {
		if svc.held[i].held && plan.owner[i] != s.vm {
			svc.held[i].releasing = true
			svc.excess = now.Add(retryDelay - balanceDelay)
			return
		}
	}
}

// track updates since when slots are claimable and more than the fair share is held.
func (s *State) track(now time.Time, svc *service) {
	for i := range svc.freeSince {
		owner := svc.owners.Slots[i].Owner
		switch free := svc.read && (owner == "" || s.gone[owner]); {
		case !free:
			svc.freeSince[i] = time.Time{}
		case svc.freeSince[i].IsZero():
			svc.freeSince[i] = now
		}
	}
	held, releasing := 0, false
	for i := range svc.held {
		if svc.held[i].held {
			held++
		}
		releasing = releasing || svc.held[i].releasing
	}
	switch excess := len(s.live) > 0 && held > share(len(s.live)) && !releasing; {
	case !excess && !releasing:
		svc.excess = time.Time{}
	case excess && svc.excess.IsZero():
		svc.excess = now
	}
}

// mayClaim reports whether this agent claims a slot now. The agent that the plan names claims at once, the others one
// after the other, so that agents do not race and a slot of an agent that does not answer is served all the same.
func (s *State) mayClaim(now time.Time, svc *service, plan *plan, slot int) bool {
	if s.draining || svc.freeSince[slot].IsZero() || svc.owners.Slots[slot].Owner == s.vm || !slices.Contains(s.live, s.vm) {
		return false
	}
	if plan.owner[slot] == s.vm {
		return true
	}
	rank := 1 + slices.Index(rendezvous(svc.name, slot, s.live), s.vm)
	return now.Sub(svc.freeSince[slot]) >= time.Duration(rank)*claimStep
}

// share is the largest number of slots that one of n agents holds in a balanced state.
func share(n int) int { return (Slots + n - 1) / n }

// plan says which live agent should own each slot.
type plan struct{ owner [Slots]string }

// planOf returns the plan for the present members. It is kept until they change, since it costs a hash for each slot
// and agent.
func (s *State) planOf(svc *service) *plan {
	if svc.plan == nil {
		svc.plan = s.newPlan(svc.name)
	}
	return svc.plan
}

// newPlan gives each slot to the first agent in its rendezvous order that has less than the share. All agents with the
// same view compute the same plan without messages.
func (s *State) newPlan(serviceName string) *plan {
	p := new(plan)
	if len(s.live) == 0 {
		return p
	}
	limit := share(len(s.live))
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

// rendezvous returns the VMs ordered by their hash with the slot, the highest first (highest random weight hashing,
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
