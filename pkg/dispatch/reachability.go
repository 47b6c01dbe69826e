package dispatch

import (
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

// unreachableRetention is how long after a failed connection a router whose upstreams are all unresponsive counts as
// partitioned. A partitioned router opens no further connections that could fail.
const unreachableRetention = 15 * time.Second

// MembersToProbe returns the upstreams whose agents are to be probed for a heartbeat: those that requests depend on,
// and all of a service of which one is unresponsive, since the router itself may be partitioned.
func (s *State) MembersToProbe(now time.Time) []*fleet.Member {
	return s.watchedMembers(now, func(m *fleet.Member) bool { return m.NeedsProbe(now) })
}

// MembersToQuery returns the upstreams among them whose engines are to be queried too, after RecordProbe was called for
// those to probe.
func (s *State) MembersToQuery(now time.Time) []*fleet.Member {
	return s.watchedMembers(now, func(m *fleet.Member) bool { return m.NeedsQuery(now) })
}

// watchedMembers returns the upstreams that requests depend on, and all of a service of which one is unresponsive, as far
// as include returns true for them.
func (s *State) watchedMembers(now time.Time, include func(*fleet.Member) bool) []*fleet.Member {
	var out []*fleet.Member
	seen := map[string]bool{}
	add := func(m *fleet.Member) {
		if m != nil && !seen[m.ID] && include(m) {
			out, seen[m.ID] = append(out, m), true
		}
	}
	for id, stats := range s.stats {
		if stats.outstanding > 0 || stats.promptWaits > 0 {
			add(s.Fleet.Get(id))
		}
	}
	for loadReq, n := range s.waiting {
		if n > 0 {
			add(s.Fleet.Get(loadReq.Upstream))
		}
	}
	for service := range s.services() {
		members := s.Fleet.Members(now, service)
		if slices.ContainsFunc(members, func(m *fleet.Member) bool { return m.IsUnresponsive(now) }) {
			for _, m := range members {
				add(m)
			}
		}
	}
	return out
}

// services returns the names of the services with an engine.
func (s *State) services() map[string]bool {
	out := map[string]bool{}
	if s.config == nil {
		return out
	}
	for name, service := range s.config.Services {
		if service.Engine != nil {
			out[name] = true
		}
	}
	return out
}

// IsPartitioned reports whether the router reaches no upstream of some service with an engine.
func (s *State) IsPartitioned(now time.Time) bool {
	for service := range s.services() {
		if s.partitioned(now, service) {
			return true
		}
	}
	return false
}

// tryAll reports whether unresponsive upstreams get requests too. If all upstreams of the service are unresponsive,
// they are tried until a connection fails: possibly only their agents have ended.
func (s *State) tryAll(now time.Time, service string, members []*fleet.Member) bool {
	return allUnresponsive(now, members) && !s.recentlyUnreachable(now, service)
}

// partitioned reports whether the router reaches no upstream of the service.
func (s *State) partitioned(now time.Time, service string) bool {
	return s.recentlyUnreachable(now, service) && allUnresponsive(now, s.Fleet.Members(now, service))
}

// recentlyUnreachable reports whether a connection to an upstream of the service failed within unreachableRetention.
func (s *State) recentlyUnreachable(now time.Time, service string) bool {
	failed, ok := s.unreachableAt[service]
	return ok && now.Sub(failed) <= unreachableRetention
}

// allUnresponsive reports whether there are members and all of them are unresponsive.
func allUnresponsive(now time.Time, members []*fleet.Member) bool {
	return len(members) > 0 && !slices.ContainsFunc(members, func(m *fleet.Member) bool { return !m.IsUnresponsive(now) })
}
