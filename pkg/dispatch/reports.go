package dispatch

import (
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

const (
	// firstReportsTimeout is the time from the first list of upstreams until the agents' reports have arrived: a
	// round trip between regions and one iteration of the agent's loop.
	firstReportsTimeout = 400 * time.Millisecond
	// lastReportsTimeout is the time from the first list of upstreams within which the agents beside all live
	// upstreams have reported, even if all VMs lost power and start at the same time.
	lastReportsTimeout = 2 * time.Second
)

// RecordListing records that the list of upstreams has been read; only the first call counts.
func (s *State) RecordListing(now time.Time) {
	if s.listedAt.IsZero() {
		s.listedAt = now
	}
}

// awaitingReports reports whether the process started so recently that the agents' first reports may not have
// arrived.
func (s *State) awaitingReports(now time.Time) bool { return now.Sub(s.listedAt) < firstReportsTimeout }

// awaitingLastReports reports whether the agents beside some live upstreams may not have reported yet.
func (s *State) awaitingLastReports(now time.Time) bool {
	return now.Sub(s.listedAt) < lastReportsTimeout
}

// mayHaveUnreportedCopies reports whether an upstream whose agent has not reported yet may have cached copies. This is
// assumed shortly after the start of the process.
func (s *State) mayHaveUnreportedCopies(now time.Time, service string) bool {
	return s.awaitingLastReports(now) && slices.ContainsFunc(s.Fleet.Members(now, service), unreported)
}

// Unreported returns the upstreams whose agents are to be probed for their first report.
func (s *State) Unreported(now time.Time) []*fleet.Member {
	if !s.awaitingLastReports(now) {
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

// confirmed returns the members whose holdings are reliable. For seconds after a power loss the list names upstreams
// that have lost their holdings. If most agents have reported, members without a report are therefore left out until
// the last agents have had the time to start.
func (s *State) confirmed(now time.Time, members []*fleet.Member) []*fleet.Member {
	if !s.awaitingLastReports(now) || !mostReported(members) {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), unreported)
}

// unreported reports whether the agent beside the member has never reported.
func unreported(m *fleet.Member) bool { return m.ReportedAt.IsZero() }

// mostReported reports whether most agents beside the members have reported.
func mostReported(members []*fleet.Member) bool {
	n := 0
	for _, m := range members {
		if !unreported(m) {
			n++
		}
	}
	return 2*n > len(members)
}

// defaultRouters is the number of routers assumed until an agent has reported it.
const defaultRouters = 8

// recordRouters records the number of live routers that an agent has reported.
func (s *State) recordRouters(now time.Time, n int) {
	s.routers = n
	s.RetryShare.RecordRouters(now, n, s.RetryShare.Known() || s.mostAgentsReported(now))
}

func (s *State) mostAgentsReported(now time.Time) bool {
	var members []*fleet.Member
	for service := range s.services() {
		members = append(members, s.Fleet.Members(now, service)...)
	}
	return mostReported(members)
}
