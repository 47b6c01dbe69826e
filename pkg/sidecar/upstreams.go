package sidecar

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

const (
	// stableAfter is the time after which the list counts as complete if few upstreams were added meanwhile. It covers
	// one interval of the upstreams' writes and the lag of stale reads.
	stableAfter = 2 * time.Second
	// maxNewShare is the share of the list that may be new within stableAfter. With no new upstreams allowed, no lost
	// model would be fetched during a whole release, in which an upstream starts about every second.
	maxNewShare = 0.1
)

// upstreamList is the agent's view of the platform's list of upstreams. The zero value is a list that has not been read
// and never counts as complete. Otherwise sidecars that have their configuration but no list yet, as after a power
// loss, would each assume to be the only upstream and all fetch the same model from the weight store.
type upstreamList struct {
	byID        map[string]catalog.Upstream // nil until the list has been read
	firstReadAt time.Time
	// firstListedAt is when each upstream first appeared in the list.
	firstListedAt map[string]time.Time
}

// replace replaces the list and keeps the times at which its upstreams first appeared.
func (l *upstreamList) replace(now time.Time, all []catalog.Upstream) {
	if l.byID == nil {
		l.firstReadAt = now
	}
	previous := l.firstListedAt
	l.byID, l.firstListedAt = make(map[string]catalog.Upstream, len(all)), make(map[string]time.Time, len(all))
	for _, u := range all {
		l.byID[u.ID], l.firstListedAt[u.ID] = u, now
		if at, known := previous[u.ID]; known {
			l.firstListedAt[u.ID] = at
		}
	}
}

// put adds or replaces an upstream. It does nothing before the list has been read.
func (l *upstreamList) put(now time.Time, u catalog.Upstream) {
	if l.byID == nil {
		return
	}
	if _, known := l.byID[u.ID]; !known {
		l.firstListedAt[u.ID] = now
	}
	l.byID[u.ID] = u
}

func (l *upstreamList) remove(id string) {
	delete(l.byID, id)
	delete(l.firstListedAt, id)
}

// stable reports whether the list has been read, has contained the agent's own upstream and has not grown much for
// stableAfter. When several upstreams restart empty, the list shows each one the previous holdings of the others;
// without the delay every one of them would assign the missing models to itself.
func (l *upstreamList) stable(now time.Time, self string) bool {
	ownListedAt, listed := l.firstListedAt[self]
	if l.byID == nil || now.Sub(l.firstReadAt) < stableAfter || !listed || now.Sub(ownListedAt) < stableAfter {
		return false
	}
	added := 0
	for _, at := range l.firstListedAt {
		if now.Sub(at) < stableAfter {
			added++
		}
	}
	return float64(added) <= maxNewShare*float64(len(l.byID))
}

// withSelf returns self followed by the other listed upstreams of its service, and whether the list has been read.
func (l *upstreamList) withSelf(self catalog.Upstream) ([]catalog.Upstream, bool) {
	all := []catalog.Upstream{self}
	for _, u := range l.byID {
		if u.Service == self.Service && u.ID != self.ID {
			all = append(all, u)
		}
	}
	return all, l.byID != nil
}
