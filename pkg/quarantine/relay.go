package quarantine

import (
	"slices"
	"time"
)

const (
	// maxRelayed bounds the reports that a relay stores.
	maxRelayed = 4096
	// maxReportsPerMessage bounds the reports in one message of a relay: some 8 KB, half of a datagram's limit.
	maxReportsPerMessage = 200
	// maxReporters bounds the routers whose last sequence number is kept, twice the routers of the design size. Messages
	// may be forged.
	maxReporters = 1024
)

// Relay distributes the crash reports of each router to all routers. It numbers the reports, so that a router can
// announce up to which number it has received them and is sent only later ones. It is not safe for concurrent use.
type Relay struct {
	first   uint32 // number of reports[0]
	reports []relayedReport
	stored  map[Report]bool
	lastSeq map[string]uint64 // sequence number of the last report of each router
}

type relayedReport struct {
	Report
	at time.Time
}

// NewRelay returns a relay without reports. first is the number of its first report; successive relays on the same VM
// must start with increasing numbers.
func NewRelay(first uint32) *Relay {
	return &Relay{first: first, stored: map[Report]bool{}, lastSeq: map[string]uint64{}}
}

// Add adds new reports and drops expired ones.
func (r *Relay) Add(now time.Time, reports []Report) {
	for _, x := range reports {
		if _, known := r.lastSeq[x.Reporter]; !known && len(r.lastSeq) >= maxReporters {
			continue
		}
		r.lastSeq[x.Reporter] = x.Seq
		if !r.stored[x] {
			r.stored[x] = true
			r.reports = append(r.reports, relayedReport{Report: x, at: now})
		}
	}
	drop := max(0, len(r.reports)-maxRelayed)
	for drop < len(r.reports) && now.Sub(r.reports[drop].at) > reportTTL {
		drop++
	}
	for _, x := range r.reports[:drop] {
		delete(r.stored, x.Report)
	}
	r.reports = slices.Delete(r.reports, 0, drop)
	r.first += uint32(drop)
}

// NextNumber returns the number that the next added report gets.
func (r *Relay) NextNumber() uint32 { return r.first + uint32(len(r.reports)) }

// ReportsFrom returns the reports from the given number on, at most as many as fit into a message, and the number of
// the report after them. A number that this relay has not assigned is treated as that of its first report.
func (r *Relay) ReportsFrom(number uint32) ([]Report, uint32) {
	if number < r.first || number > r.NextNumber() {
		number = r.first
	}
	var out []Report
	for _, x := range r.reports[number-r.first:] {
		if len(out) == maxReportsPerMessage {
			break
		}
		out = append(out, x.Report)
	}
	return out, number + uint32(len(out))
}

// LastSeq returns the sequence number of the last report that the relay received from a router, or 0.
func (r *Relay) LastSeq(reporter string) uint64 { return r.lastSeq[reporter] }
