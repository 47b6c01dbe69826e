package dispatch

import (
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fleet"
)

const (
	// firstReportsTimeout is the time from the first list of upstreams until the agents' reports have arrived: a message and its
	// answer between regions, and a round of the agent.
	firstReportsTimeout = 400 * time.Millisecond
	// lastReportsTimeout is the time from the first list of upstreams within which the agents beside all upstreams that live have
	// reported, also if all VMs have lost power and start at the same time.
	lastReportsTimeout = 2 * time.Second
)

// RecordListing records that the upstreams have been listed.
func (s *State) RecordListing(now time.Time) {
	if s.listedAt.IsZero() {
		s.listedAt = now
	}
}

// awaitingReports reports whether the process has just started and the agents' first reports are on their way.
func (s *State) awaitingReports(now time.Time) bool { return now.Sub(s.listedAt) < firstReportsTimeout }

// awaitingLastReports reports whether some agents may not have started yet.
func (s *State) awaitingLastReports(now time.Time) bool {
	return now.Sub(s.listedAt) < lastReportsTimeout
}

// mayHaveUnreportedCopies reports whether the process has started a short while ago and some agents have not reported yet: a copy may
// lie beside one of them.
func (s *State) mayHaveUnreportedCopies(now time.Time, service string) bool {
	return s.awaitingLastReports(now) && slices.ContainsFunc(s.Fleet.Members(now, service), unreported)
}

// Unreported returns the upstreams whose agents are to be asked for their first report.
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

// confirmed returns the members whose holdings are known to be true. After a loss of power the list names upstreams for
// seconds that have lost what they held; while most agents report, the others are not trusted until the last have started.
func (s *State) confirmed(now time.Time, members []*fleet.Member) []*fleet.Member {
	if !s.awaitingLastReports(now) || !mostReported(members) {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), unreported)
}

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
