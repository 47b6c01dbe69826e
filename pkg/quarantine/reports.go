package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportLife is how long a crash counts: a caller that repeats its request does so within its deadline of seconds.
	reportLife = 30 * time.Second
	// confirmWithin is the time after a broken send within which the end of the upstream makes it a crash. The list shows
	// a silent upstream's end after three of its intervals.
	confirmWithin = 5 * time.Second
	// crashesToRefuse is the number of crashes in which a request is refused. Requests that only ran beside the cause are
	// repeated on other upstreams and answered before they reach it.
	crashesToRefuse = 3
	// MaxReports bounds the reports that one process holds and sends.
	MaxReports = 64
)

// Report says that a request was running when an upstream ended. Reporter and Seq identify it in all processes.
type Report struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Reporter    string `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint"`
}

type broken struct {
	fingerprint uint64
	upstream    string
	at          time.Time
}

// Reports decides at a router which requests are refused because they crash upstreams, from the crashes that all routers
// have seen. It is not safe for concurrent use.
type Reports struct {
	reporter string
	seq      uint64
	broken   []broken // sends that ended without an answer, oldest first
	known    map[Report]time.Time
}

// NewReports returns the state of a router. Start tells its processes apart.
func NewReports(reporter string, start time.Time) *Reports {
	return &Reports{reporter: reporter, seq: uint64(start.UnixNano()), known: map[Report]time.Time{}}
}

// RecordInterrupted records that a send to the upstream ended without an answer.
func (r *Reports) RecordInterrupted(now time.Time, fp uint64, upstream string) {
	r.broken = append(r.broken, broken{fingerprint: fp, upstream: upstream, at: now})
	if len(r.broken) > MaxReports {
		r.broken = slices.Delete(r.broken, 0, 1)
	}
}

// RecordUpstreamEnd records that the upstream has ended: the sends that broke off there shortly before count as crashes.
func (r *Reports) RecordUpstreamEnd(now time.Time, upstream string) {
	rest := r.broken[:0]
	for _, b := range r.broken {
		switch {
		case now.Sub(b.at) > confirmWithin:
		case b.upstream != upstream:
			rest = append(rest, b)
		default:
			r.seq++
			r.add(now, Report{Fingerprint: b.fingerprint, Reporter: r.reporter, Seq: r.seq})
		}
	}
	r.broken = rest
}

// Merge takes the reports of other routers.
func (r *Reports) Merge(now time.Time, reports []Report) {
	for _, x := range reports {
		r.add(now, x)
	}
}

func (r *Reports) add(now time.Time, x Report) {
	if _, ok := r.known[x]; ok || len(r.known) >= MaxReports*MaxReports {
		return
	}
	r.known[x] = now
}

// IsQuarantined reports whether requests with the fingerprint are refused.
func (r *Reports) IsQuarantined(now time.Time, fp uint64) bool {
	crashes := 0
	for x, at := range r.known {
		if now.Sub(at) > reportLife {
			delete(r.known, x)
			continue
		}
		if x.Fingerprint == fp {
			crashes++
		}
	}
	return crashes >= crashesToRefuse
}

// After returns the reports of this router after the one with the number seq, oldest first, as many as a message holds. A
// number that this process has not given is taken for 0.
func (r *Reports) After(now time.Time, seq uint64) []Report {
	if seq > r.seq {
		seq = 0
	}
	var out []Report
	for x, at := range r.known {
		if x.Reporter == r.reporter && x.Seq > seq && now.Sub(at) <= reportLife {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Seq, b.Seq) })
	return out[:min(len(out), MaxReports)]
}

// LastSeq returns the number of this router's last report.
func (r *Reports) LastSeq() uint64 { return r.seq }
