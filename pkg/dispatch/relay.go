package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

// relays is the number of agents that pass crash reports on: routers may see different lists, and some agents may be gone.
const relays = 3

// Relays returns the addresses of the upstreams whose agents pass crash reports on. Routers with the same list return the
// same.
func (s *State) Relays(now time.Time) []string {
	var out []string
	for service := range s.services() {
		for _, m := range s.Fleet.Members(now, service) {
			if !m.IsUnresponsive(now) {
				out = append(out, m.Address)
			}
		}
	}
	rank := func(address string) uint64 { return placement.Rank("crash reports", address) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	return out[:min(relays, len(out))]
}

// IsRelay reports whether the agent beside the upstream at the address passes crash reports on.
func (s *State) IsRelay(now time.Time, address string) bool {
	return slices.Contains(s.Relays(now), address)
}
