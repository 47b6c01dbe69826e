package dispatch

import "time"

// MayBeEnding reports whether there is a sign that the upstream is ending or has ended: it is leaving or has left the list,
// another instance has its address, it is silent, or the router's last attempt at it failed.
func (s *State) MayBeEnding(now time.Time, id string) bool {
	m := s.Fleet.Get(id)
	if m == nil || m.IsEnding() || m.IsUnresponsive(now) {
		return true
	}
	stats := s.stats[id]
	return stats != nil && stats.failures > 0
}
