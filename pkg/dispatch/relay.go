package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

// maxRelays is the number of agents that relay crash reports: more than one, since routers may have different lists
// of upstreams and some agents may have ended.
const maxRelays = 3

// Relays returns the addresses of the upstreams whose agents relay crash reports. Routers with the same list of
// upstreams choose the same relays.
func (s *State) Relays(now time.Time) []string {
	var out []string
	for service := range s.services() {
		for _, m := range s.Fleet.Members(now, service) {
			if !m.IsUnresponsive(now) && !m.IsAgentUnresponsive() {
				out = append(out, m.Address)
			}
		}
	}
	rank := func(address string) uint64 { return placement.Rank("crash reports", address) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	return out[:min(maxRelays, len(out))]
}

// IsRelay reports whether the agent beside the upstream at the address relays crash reports.
func (s *State) IsRelay(now time.Time, address string) bool {
	return slices.Contains(s.Relays(now), address)
}
