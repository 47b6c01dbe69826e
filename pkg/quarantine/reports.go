package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reportTTL is how long routers and relays send a report.
	reportTTL = 30 * time.Second
	// confirmTimeout is the time after an interrupted attempt within which an end of the upstream counts as a crash.
	// The list of upstreams shows the end of an unresponsive upstream after three of its intervals.
	confirmTimeout = 5 * time.Second
	// MaxReports bounds the interrupted attempts that a process tracks and the reports in one of its messages. Its
	// square bounds the reports that a process stores.
	MaxReports = 64
	// maxOwnReports bounds the reports of one process that are sent to relays.
	maxOwnReports = 1024
	// pruneInterval is the time between two removals of old reports.
	pruneInterval = time.Second
)

// Kind is what a report states.
type Kind uint8

// Kinds of reports.
const (
	// RequestCrash states that a request was running when an upstream ended.
	RequestCrash Kind = iota
	// PartCrash states that an upstream ended while it had sent at most the beginning of the answer to a request with a
	// prompt part.
	PartCrash
	// PartAnswered states that a request with a suspected prompt part has been answered beyond the beginning.
	PartAnswered
	// RequestAnswered states that a request that was running when an upstream ended has been answered by another one.
	RequestAnswered
)

// Report is an observation of a router. Reporter and Seq identify the report in all processes.
type Report struct {
	// Fingerprint is that of the request or the key of the prompt part.
	Fingerprint uint64 `cbor:"1,keyasint"`
	Reporter    string `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint"`
	Kind        Kind   `cbor:"4,keyasint,omitempty"`
	// Upstream identifies the instance that ended and UnixMS is when its answers were interrupted, in Unix milliseconds; only
	// for crashes.
	Upstream uint64 `cbor:"5,keyasint,omitempty"`
	UnixMS   int64  `cbor:"6,keyasint,omitempty"`
	// Position is the part's position in the prompt; only for PartCrash.
	Position int `cbor:"7,keyasint,omitempty"`
	// SentUnixMS is when the interrupted attempt was sent, in Unix milliseconds; only for RequestCrash.
	SentUnixMS int64 `cbor:"8,keyasint,omitempty"`
}

// Interruption is an attempt that ended without an answer.
type Interruption struct {
	Fingerprint uint64
	// Parts are the keys of the request's shared prompt parts if at most the beginning of the answer arrived.
	Parts    []uint64
	Upstream string
	// UpstreamStartedUnixMS is the start of the upstream's process, which may have the id of an earlier one.
	UpstreamStartedUnixMS int64
	SentAt, At            time.Time
}

// sentUnixMS returns when the attempt was sent. If that is not known, its run overlaps no other.
func (i *Interruption) sentUnixMS() int64 {
	if i.SentAt.IsZero() {
		return i.At.UnixMilli()
	}
	return i.SentAt.UnixMilli()
}

func (i *Interruption) instance() uint64 { return instanceKey(i.Upstream, i.UpstreamStartedUnixMS) }

// instanceKey identifies an instance of an upstream, whose id may come again with another start.
func instanceKey(upstream string, startedUnixMS int64) uint64 {
	return xxhash.Sum64String(upstream + "\x00" + strconv.FormatInt(startedUnixMS, 10))
}

// unansweredParts are the prompt parts of the attempts of whose answers at most the beginning had arrived when their
// upstream interrupted them.
type unansweredParts struct {
	instance uint64         // of the upstream
	at       time.Time      // of the last interruption
	parts    map[uint64]int // positions in the prompts by part
}

// maxUnansweredParts bounds the parts that are reported for one crash.
const maxUnansweredParts = 256

func (u *unansweredParts) add(now time.Time, parts []uint64) {
	u.at = now
	for position, part := range parts {
		if len(u.parts) < maxUnansweredParts {
			u.parts[part] = position
		}
	}
}

// receivedReport is a report and when it was received.
type receivedReport struct {
	Report
	at time.Time
}

// Reports decides at a router which requests are refused because they crash upstreams, based on the reports of all
// routers. It is not safe for concurrent use.
type Reports struct {
	reporter    string
	seq         uint64
	interrupted []Interruption // oldest first
	// unanswered contains the prompt parts of interrupted attempts without an answer, by upstream.
	unanswered  map[string]*unansweredParts
	processEnds map[string]time.Time // when the process of an upstream was found to have ended
	own         []receivedReport     // this router's reports, oldest first
	// receivedParts contains the reports of prompt parts. They stay for twice as long as relays send them, since several
	// relays send the same ones.
	receivedParts map[Report]time.Time
	prunedAt      time.Time
	requests      *requests
	answered      answered
	parts         *parts
	evidence      []Evidence
}

// NewReports returns the reports of a router. The sequence numbers begin at start, so that they differ between
// successive processes of the router.
func NewReports(reporter string, start time.Time) *Reports {
	return &Reports{reporter: reporter, seq: uint64(start.UnixNano()), receivedParts: map[Report]time.Time{}, processEnds: map[string]time.Time{}, unanswered: map[string]*unansweredParts{}, requests: newRequests(), parts: newParts()}
}

// RecordInterrupted records that an attempt ended without an answer. It counts as a crash at once if the process to which it
// was sent is known to have ended: whether an answer is complete may be known later than that.
func (r *Reports) RecordInterrupted(i Interruption) {
	r.prune(i.At)
	if endedAt, ok := r.processEnds[i.Upstream]; ok && i.SentAt.Before(endedAt) && i.At.Sub(endedAt) <= confirmTimeout {
		defer r.RecordUpstreamEnd(i.At, i.Upstream)
	}
	r.interrupted = append(r.interrupted, i)
	if len(r.interrupted) > MaxReports {
		r.interrupted = slices.Delete(r.interrupted, 0, 1)
	}
	if len(i.Parts) == 0 {
		return
	}
	u := r.unanswered[i.Upstream]
	if u == nil || i.At.Sub(u.at) > confirmTimeout {
		u = &unansweredParts{instance: i.instance(), parts: map[uint64]int{}}
		r.unanswered[i.Upstream] = u
	}
	u.add(i.At, i.Parts)
}

// RecordUnreachable records that the upstream accepts no connection: requests that were interrupted there shortly before
// count as crashes. Their prompt parts do not, since the path to the upstream may be cut.
func (r *Reports) RecordUnreachable(now time.Time, upstream string) {
	remaining := r.interrupted[:0]
	for _, attempt := range r.interrupted {
		switch {
		case now.Sub(attempt.At) > confirmTimeout:
			r.recordEvidence(now, attempt, false)
		case attempt.Upstream != upstream:
			remaining = append(remaining, attempt)
		default:
			r.report(now, Report{Fingerprint: attempt.Fingerprint, Upstream: attempt.instance(), UnixMS: attempt.At.UnixMilli(), SentUnixMS: attempt.sentUnixMS()})
			r.recordEvidence(now, attempt, true)
		}
	}
	r.interrupted = remaining
}

// RecordUpstreamEnd records that the upstream has ended: attempts that were interrupted there shortly before count as
// crashes.
func (r *Reports) RecordUpstreamEnd(now time.Time, upstream string) {
	r.RecordUnreachable(now, upstream)
	u := r.unanswered[upstream]
	if u == nil {
		return
	}
	delete(r.unanswered, upstream)
	if now.Sub(u.at) > confirmTimeout {
		return
	}
	for part, position := range u.parts {
		r.report(now, Report{Fingerprint: part, Kind: PartCrash, Upstream: u.instance, UnixMS: u.at.UnixMilli(), Position: position})
	}
}

// RecordProcessEnd records that the upstream's process has ended. Attempts that were sent to it before count as crashes even if
// their interruption is recorded afterwards.
func (r *Reports) RecordProcessEnd(now time.Time, upstream string) {
	r.prune(now)
	r.processEnds[upstream] = now
	r.RecordUpstreamEnd(now, upstream)
}

// RecordAnswered records that a request with the prompt parts has been answered beyond the beginning.
func (r *Reports) RecordAnswered(now time.Time, parts []uint64) {
	for _, part := range parts {
		if r.parts.recordAnswered(part) {
			r.report(now, Report{Fingerprint: part, Kind: PartAnswered})
		}
	}
}

// RecordRequestAnswered records that an upstream has answered the request with the fingerprint, so that its earlier
// crashes had another cause.
func (r *Reports) RecordRequestAnswered(now time.Time, fp uint64) {
	r.interrupted = slices.DeleteFunc(r.interrupted, func(a Interruption) bool { return a.Fingerprint == fp })
	r.answered.add(now, fp)
	if r.requests.recordAnswered(fp) {
		r.report(now, Report{Fingerprint: fp, Kind: RequestAnswered})
	}
}

// report adds a report of this router.
func (r *Reports) report(now time.Time, x Report) {
	r.seq++
	x.Reporter, x.Seq = r.reporter, r.seq
	expired := 0
	for expired < len(r.own) && (len(r.own)-expired >= maxOwnReports || now.Sub(r.own[expired].at) > reportTTL) {
		expired++
	}
	r.own = append(slices.Delete(r.own, 0, expired), receivedReport{Report: x, at: now})
	r.add(now, x)
	if x.Kind == RequestCrash {
		r.requests.keep(x.Fingerprint)
	}
}

// Merge adds the reports of other routers.
func (r *Reports) Merge(now time.Time, reports []Report) {
	for _, x := range reports {
		r.add(now, x)
	}
}

func (r *Reports) add(now time.Time, x Report) {
	r.prune(now)
	switch x.Kind {
	case RequestCrash:
		r.requests.recordCrash(now, x, r.answered.contains(now, x.Fingerprint))
		return
	case RequestAnswered:
		r.requests.recordAnswered(x.Fingerprint)
		return
	}
	if _, ok := r.receivedParts[x]; ok || len(r.receivedParts) >= MaxReports*MaxReports {
		return
	}
	r.receivedParts[x] = now
	switch x.Kind {
	case PartCrash:
		r.parts.recordCrash(now, x)
	case PartAnswered:
		r.parts.recordAnswered(x.Fingerprint)
	}
}

// prune drops reports that no relay sends any more.
func (r *Reports) prune(now time.Time) {
	if now.Sub(r.prunedAt) < pruneInterval {
		return
	}
	r.prunedAt = now
	for upstream, u := range r.unanswered {
		if now.Sub(u.at) > confirmTimeout {
			delete(r.unanswered, upstream)
		}
	}
	for upstream, at := range r.processEnds {
		if now.Sub(at) > confirmTimeout {
			delete(r.processEnds, upstream)
		}
	}
	for x, at := range r.receivedParts {
		if now.Sub(at) > 2*reportTTL {
			delete(r.receivedParts, x)
		}
	}
}

// IsQuarantined reports whether requests with the fingerprint are refused.
func (r *Reports) IsQuarantined(now time.Time, fp uint64) bool {
	return r.requests.isRefused(now, fp)
}

// CrashingPart returns the index of the first prompt part whose requests are refused because they crash upstreams, or -1.
func (r *Reports) CrashingPart(now time.Time, parts []uint64) int {
	return slices.IndexFunc(parts, func(part uint64) bool { return r.parts.isRefused(now, part) })
}

// TakeVerdicts returns the prompt parts that have come to be refused since the last call.
func (r *Reports) TakeVerdicts(now time.Time) []Verdict { return r.parts.takeVerdicts(now) }

// ReportsAfter returns this router's reports with a sequence number above seq, oldest first, at most as many as fit
// into a message. A seq that this process has not assigned is treated as 0.
func (r *Reports) ReportsAfter(now time.Time, seq uint64) []Report {
	if seq > r.seq {
		seq = 0
	}
	var out []Report
	for _, x := range r.own {
		if x.Seq > seq && now.Sub(x.at) <= reportTTL && len(out) < MaxReports {
			out = append(out, x.Report)
		}
	}
	return out
}

// LastSeq returns the sequence number of this router's last report.
func (r *Reports) LastSeq() uint64 { return r.seq }
