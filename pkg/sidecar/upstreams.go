package sidecar

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

// settleTime is the time without a new upstream after which the list counts as complete: an interval of the upstreams'
// writes, and the lag of reads that may be stale.
const settleTime = 2 * time.Second

// upstreams is the platform's list of upstreams as the agent knows it. The zero value is a list that has not been read; it
// never counts as complete. After a loss of power agents that had their configuration but no list took themselves for the
// only upstream, and all fetched the same model from the weight store.
type upstreams struct {
	byID map[string]catalog.Upstream // nil until the list has been read
	// grownAt is when the list last named an upstream that it had not named before.
	grownAt time.Time
}

// replace takes the whole list.
func (l *upstreams) replace(now time.Time, all []catalog.Upstream) {
	before := l.byID
	l.byID = make(map[string]catalog.Upstream, len(all))
	if before == nil {
		l.grownAt = now
	}
	for _, u := range all {
		if _, known := before[u.ID]; !known {
			l.grownAt = now
		}
		l.byID[u.ID] = u
	}
}

// put takes a changed entry. Changes follow a list that was read.
func (l *upstreams) put(now time.Time, u catalog.Upstream) {
	if l.byID == nil {
		return
	}
	if _, known := l.byID[u.ID]; !known {
		l.grownAt = now
	}
	l.byID[u.ID] = u
}

func (l *upstreams) remove(id string) { delete(l.byID, id) }

// settled reports whether the list has been read and has not grown for a while.
func (l *upstreams) settled(now time.Time) bool {
	return l.byID != nil && now.Sub(l.grownAt) >= settleTime
}

// with returns self and the listed upstreams of its service, and whether the list has been read.
func (l *upstreams) with(self catalog.Upstream) ([]catalog.Upstream, bool) {
	all := []catalog.Upstream{self}
	for _, u := range l.byID {
		if u.Service == self.Service && u.ID != self.ID {
			all = append(all, u)
		}
	}
	return all, l.byID != nil
}
