package dispatch

import (
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

// unreachedTime is how long after a failed connection a router counts as cut off while all upstreams are silent. A cut-off
// router makes no further connections that could fail.
const unreachedTime = 15 * time.Second

// Quiet returns the upstreams whose agents are to be asked for a sign of life: those that requests depend on, and all of a
// service of which one is silent, since the router itself may be cut off.
func (s *State) Quiet(now time.Time) []*fleet.Member {
	var out []*fleet.Member
	seen := map[string]bool{}
	add := func(m *fleet.Member) {
		if m != nil && !seen[m.ID] && m.Quiet(now) {
			out, seen[m.ID] = append(out, m), true
		}
	}
	for id, t := range s.tracks {
		if t.outstanding > 0 {
			add(s.Fleet.Get(id))
		}
	}
	for w, n := range s.waiting {
		if n > 0 {
			add(s.Fleet.Get(w.Upstream))
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

// services returns the services with an engine.
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

// IsPartitioned reports whether the router reaches no upstream of a service with an engine.
func (s *State) IsPartitioned(now time.Time) bool {
	for service := range s.services() {
		if s.cutOff(now, service) {
			return true
		}
	}
	return false
}

// tryAll reports whether silent upstreams get requests too: if all upstreams of the service are silent, they are tried until
// a connection fails. Their agents may be gone, but not they.
func (s *State) tryAll(now time.Time, service string, members []*fleet.Member) bool {
	return allSilent(now, members) && !s.unreachedLately(now, service)
}

// cutOff reports whether the router reaches no upstream of the service.
func (s *State) cutOff(now time.Time, service string) bool {
	return s.unreachedLately(now, service) && allSilent(now, s.Fleet.Members(now, service))
}

func (s *State) unreachedLately(now time.Time, service string) bool {
	failed, ok := s.unreached[service]
	return ok && now.Sub(failed) <= unreachedTime
}

func allSilent(now time.Time, members []*fleet.Member) bool {
	return len(members) > 0 && !slices.ContainsFunc(members, func(m *fleet.Member) bool { return !m.IsUnresponsive(now) })
}
