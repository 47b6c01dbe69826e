package dispatch

import (
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

const (
	// firstReports is the time from the first list of upstreams until the agents' reports have arrived: a message and its
	// answer between regions, and a round of the agent.
	firstReports = 400 * time.Millisecond
	// lastReports is the time from the first list of upstreams within which the agents beside all upstreams that live have
	// reported, also if all VMs have lost power and start at the same time.
	lastReports = 2 * time.Second
)

// RecordListing records that the upstreams have been listed.
func (s *State) RecordListing(now time.Time) {
	if s.listedAt.IsZero() {
		s.listedAt = now
	}
}

// awaitsReports reports whether the process has just started and the agents' first reports are on their way.
func (s *State) awaitsReports(now time.Time) bool { return now.Sub(s.listedAt) < firstReports }

// awaitsLastReports reports whether some agents may not have started yet.
func (s *State) awaitsLastReports(now time.Time) bool { return now.Sub(s.listedAt) < lastReports }

// awaitsCopies reports whether the process has started a short while ago and some agents have not reported yet: a copy may
// lie beside one of them.
func (s *State) awaitsCopies(now time.Time, service string) bool {
	return s.awaitsLastReports(now) && slices.ContainsFunc(s.Fleet.Members(now, service), unreported)
}

// Unreported returns the upstreams whose agents are to be asked for their first report.
func (s *State) Unreported(now time.Time) []*fleet.Member {
	if !s.awaitsLastReports(now) {
		return nil
	}
	var out []*fleet.Member
	for service := range s.services() {
		for _, m := range s.Fleet.Members(now, service) {
			if unreported(m) {
				out = append(out, m)
			}
		}
	}
	return out
}

// confirmed returns the members whose holdings are known to be true. After a loss of power the list names upstreams for
// seconds that have lost what they held; while most agents report, the others are not trusted until the last have started.
func (s *State) confirmed(now time.Time, members []*fleet.Member) []*fleet.Member {
	if !s.awaitsLastReports(now) || !reported(members) {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), unreported)
}

func unreported(m *fleet.Member) bool { return m.ReportedAt.IsZero() }

// reported reports whether most agents beside the members have reported.
func reported(members []*fleet.Member) bool {
	n := 0
	for _, m := range members {
		if !unreported(m) {
			n++
		}
	}
	return 2*n > len(members)
}
