package sidecar

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

// registrationTime is the time from an engine's first reply within which its entry is expected: two intervals of the
// upstreams' writes.
const registrationTime = 2400 * time.Millisecond

// registration is what the agent knows of the service at its address.
type registration struct {
	// service is that of the last engine that replied and whose service was known, and aliveAt the start of the call.
	service string
	aliveAt boottime.Instant
	// unlisted is the start of the engine that has replied and that the list does not name, first at unlistedAt.
	unlisted   int64
	unlistedAt boottime.Instant
	wanted     chan struct{} // receives when the list is to be read at once
}

// ListWanted returns a channel that receives when the list of upstreams is to be read at once.
func (a *Agent) ListWanted() <-chan struct{} { return a.registration.wanted }

// inheritService sets the service of an engine that the list does not name yet to that of its predecessor at the address, if
// that replied less than ReuseAfter before: the address has not been given to another service in between. Otherwise the
// service is unknown, and the engine gets no orders. The list is read without delay meanwhile.
func (a *Agent) inheritService(u *catalog.Upstream, sentAt, repliedAt boottime.Instant) {
	r := &a.registration
	if u.Service == "" {
		a.requestList(u.StartedUnixMS, repliedAt)
		if r.service != "" && repliedAt.Sub(r.aliveAt) < a.settings.ReuseAfter {
			u.Service = r.service
		}
	}
	if u.Service != "" {
		r.service, r.aliveAt = u.Service, sentAt
	}
}

func (a *Agent) requestList(startedUnixMS int64, now boottime.Instant) {
	r := &a.registration
	if r.unlisted != startedUnixMS {
		r.unlisted, r.unlistedAt = startedUnixMS, now
	}
	if now.Sub(r.unlistedAt) > registrationTime {
		return
	}
	select {
	case r.wanted <- struct{}{}:
	default: // already requested
	}
}
