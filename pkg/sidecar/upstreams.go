package sidecar

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
)

const (
	// stableAfter is the time after which the list counts as complete if few upstreams have been added: an interval of the
	// upstreams' writes, and the lag of reads that may be stale.
	stableAfter = 2 * time.Second
	// maxNewShare is the share of the list that may be new within settleTime. During a release an upstream starts every second
	// or so, and no lost model was fetched until its end.
	maxNewShare = 0.1
)

// upstreamList is the platform's list of upstreams as the agent knows it. The zero value is a list that has not been read; it
// never counts as complete. After a loss of power agents that had their configuration but no list took themselves for the
// only upstream, and all fetched the same model from the weight store.
type upstreamList struct {
	byID        map[string]catalog.Upstream // nil until the list has been read
	firstReadAt time.Time                   // first
	// firstListedAt is when the list first named each upstream.
	firstListedAt map[string]time.Time
}

// replace takes the whole list.
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

// put takes a changed entry. Changes follow a list that was read.
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

// stable reports whether the list has been read, has named the agent's own upstream and has not grown much for a while. Of
// several upstreams that have restarted empty, each sees the others as they were before until the list names them, and
// takes itself for the home of the models that are missing.
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

// withSelf returns self and the listed upstreams of its service, and whether the list has been read.
func (l *upstreamList) withSelf(self catalog.Upstream) ([]catalog.Upstream, bool) {
	all := []catalog.Upstream{self}
	for _, u := range l.byID {
		if u.Service == self.Service && u.ID != self.ID {
			all = append(all, u)
		}
	}
	return all, l.byID != nil
}
