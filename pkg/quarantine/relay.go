package quarantine

import (
	"slices"
	"time"
)

const (
	// maxRelayed bounds the reports that a relay holds.
	maxRelayed = 4096
	// maxPassed bounds the reports in one of its messages: some 8 KB, half of a datagram's limit.
	maxPassed = 200
)

// Relay passes the reports of the routers on to all of them. It numbers the reports, so that a router can say up to which
// number it has them and gets the later ones only. It is not safe for concurrent use.
type Relay struct {
	first   uint32 // number of reports[0]
	reports []relayed
	known   map[Report]bool
	seen    map[string]uint64 // the last report of each router
}

type relayed struct {
	Report
	at time.Time
}

// NewRelay returns a relay without reports. first is the number of its first report; relays that follow each other on the
// same VM begin with growing numbers.
func NewRelay(first uint32) *Relay {
	return &Relay{first: first, known: map[Report]bool{}, seen: map[string]uint64{}}
}

// Add adds reports that the relay does not know and drops those that count no longer.
func (r *Relay) Add(now time.Time, reports []Report) {
	for _, x := range reports {
		r.seen[x.Reporter] = x.Seq
		if !r.known[x] {
			r.known[x] = true
			r.reports = append(r.reports, relayed{Report: x, at: now})
		}
	}
	drop := max(0, len(r.reports)-maxRelayed)
	for drop < len(r.reports) && now.Sub(r.reports[drop].at) > reportLife {
		drop++
	}
	for _, x := range r.reports[:drop] {
		delete(r.known, x.Report)
	}
	r.reports = slices.Delete(r.reports, 0, drop)
	r.first += uint32(drop)
}

// NextNumber returns the number of the next report.
func (r *Relay) NextNumber() uint32 { return r.first + uint32(len(r.reports)) }

// ReportsFrom returns the reports from a number on, as many as a message holds, and the number of the one that follows them. A
// number that this relay has not given is taken for its first.
func (r *Relay) ReportsFrom(number uint32) ([]Report, uint32) {
	if number < r.first || number > r.NextNumber() {
		number = r.first
	}
	var out []Report
	for _, x := range r.reports[number-r.first:] {
		if len(out) == maxPassed {
			break
		}
		out = append(out, x.Report)
	}
	return out, number + uint32(len(out))
}

// LastSeq returns the number of the last report of a router that the relay has taken; 0 if there is none.
func (r *Relay) LastSeq(reporter string) uint64 { return r.seen[reporter] }
