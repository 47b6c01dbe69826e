package upstreamlimit

import "github.com/hibiscuscross/hibiscuscross/pkg/boottime"

// Holder grants the tokens of the upstreams that a sidecar is the authority for. Messages may be lost, doubled, late and
// forged. The caller passes only requests for upstreams that it holds by its own list.
type Holder struct {
	process uint64
	start   boottime.Instant
}

// NewHolder returns the holder of a sidecar's process, a random number, that started at now. All its buckets start empty.
func NewHolder(now boottime.Instant, process uint64) *Holder {
	return &Holder{process: process, start: now}
}

// SetInstance tells which process of the upstream runs, if the sidecar knows it: that of the engine beside it. Requests
// for others are then answered, but grant nothing.
func (h *Holder) SetInstance(now boottime.Instant, i Instance) {}

// Handle applies a request and returns the messages to send: the answer, and tokens of other routers that came due. With
// sole, no other process can be the holder, as for the engine beside the sidecar; without it the holder starts at half
// the rate for one window, since routers with an older list may still ask another one.
func (h *Holder) Handle(now boottime.Instant, r *Request, sole bool) []Outgoing { return nil }

// Due returns the messages for tokens that have come since the last call.
func (h *Holder) Due(now boottime.Instant) []Outgoing { return nil }

// Next returns when Due is to be called next; at most a second later.
func (h *Holder) Next(now boottime.Instant) boottime.Instant { return 0 }

// Announcements returns the limits in force, for the reports to all routers, at most 16.
func (h *Holder) Announcements(now boottime.Instant) []Announcement { return nil }

// Usage is the state of one upstream's limit, for metrics and logs.
type Usage struct {
	Instance Instance
	// N is the limit as named, and Rate the one in force: larger while it ends or lapses.
	N, Rate float64
	// Level is the number of tokens in the bucket, negative in debt.
	Level float64
	// Waiting is the number of requests that routers wait with.
	Waiting int
	// These count since the holder's start.
	Granted, Returned, Spent uint64
}

// Usages returns the state of the limits.
func (h *Holder) Usages(now boottime.Instant) []Usage { return nil }
