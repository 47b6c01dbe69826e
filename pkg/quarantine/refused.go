package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// maxOwnRefusals bounds the refused requests that a router keeps for later processes: some 30 KB.
const maxOwnRefusals = 256

// RefusedRequest is a request that is refused because it crashes upstreams, as it is stored for later processes.
type RefusedRequest struct {
	// Fingerprint is written in base 36, since the store may read numbers as floating point.
	Fingerprint string `json:"fingerprint"`
	// LastUnixMS is the time of the last crash, in Unix milliseconds.
	LastUnixMS int64         `json:"lastMs"`
	Crashes    []StoredCrash `json:"crashes"`
}

// StoredCrash is a crash of an upstream.
type StoredCrash struct {
	Upstream    string `json:"upstream"` // key of the instance, in base 36
	SentUnixMS  int64  `json:"sentMs"`
	EndedUnixMS int64  `json:"endedMs"`
}

// OwnRefusals returns the refused requests of which this router has reported a crash, the latest first. They include those
// that were restored as its own.
func (r *Reports) OwnRefusals(now time.Time) []RefusedRequest { return r.requests.ownRefusals(now) }

// OwnRefusalsVersion returns a number that grows with each change of OwnRefusals other than by Restore.
func (r *Reports) OwnRefusalsVersion() uint64 { return r.requests.ownVersion }

// Restore adds refused requests that were stored by this router's earlier processes (own) or by other routers.
func (r *Reports) Restore(now time.Time, stored []RefusedRequest, own bool) {
	for _, x := range stored {
		r.requests.restore(now, x, own)
	}
}

func (r *requests) ownRefusals(now time.Time) []RefusedRequest {
	var out []RefusedRequest
	for fp, c := range r.records {
		if !c.own || c.crashes < routerCrashThreshold {
			continue
		}
		x := RefusedRequest{Fingerprint: strconv.FormatUint(fp, 36), LastUnixMS: now.Add(-now.Sub(c.last)).UnixMilli()}
		for upstream, run := range c.runs {
			x.Crashes = append(x.Crashes, StoredCrash{Upstream: strconv.FormatUint(upstream, 36), SentUnixMS: run.sentUnixMS, EndedUnixMS: run.endedUnixMS})
		}
		slices.SortFunc(x.Crashes, func(a, b StoredCrash) int { return cmp.Compare(a.EndedUnixMS, b.EndedUnixMS) })
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b RefusedRequest) int { return cmp.Compare(b.LastUnixMS, a.LastUnixMS) })
	return out[:min(len(out), maxOwnRefusals)]
}

// restore adds the crashes of a stored request. Its age is taken from the time of day, which may differ between VMs, so a
// trial may come some seconds early or late.
func (r *requests) restore(now time.Time, x RefusedRequest, own bool) {
	fp, err := strconv.ParseUint(x.Fingerprint, 36, 64)
	if err != nil || len(x.Crashes) == 0 {
		return // not written by this program
	}
	age := max(0, time.Duration(now.UnixMilli()-x.LastUnixMS)*time.Millisecond)
	for _, crash := range x.Crashes {
		if upstream, err := strconv.ParseUint(crash.Upstream, 36, 64); err == nil {
			r.recordCrash(now.Add(-age), Report{Fingerprint: fp, Upstream: upstream, SentUnixMS: crash.SentUnixMS, UnixMS: crash.EndedUnixMS}, false)
		}
	}
	if c := r.records[fp]; c != nil && own {
		c.own = true
	}
}
