package sidecar

import (
	"reflect"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

const (
	// nearInterval is the time between two regular reports to a router in the sidecar's own region, farInterval to one
	// in another region. Traffic between regions is charged by volume.
	nearInterval = 500 * time.Millisecond
	farInterval  = 1500 * time.Millisecond
	// loadChangeInterval is the minimum time between two reports to a router in the same region when only the load
	// changed.
	loadChangeInterval = 250 * time.Millisecond
)

// publish sends reports to the routers: at once after a change, otherwise at regular intervals as a heartbeat.
func (a *Agent) publish() {
	now := time.Now()
	if a.report.Upstream.ID == "" {
		return
	}
	s := a.buildReport(now)
	changed, loadChanged := a.compare(s)
	a.lastSent = s
	for _, r := range a.routers.liveRouters(now) {
		crashesPending := a.routers.crashes.NextNumber() != r.crashesSent
		if !due(now.Sub(r.sentAt), changed || crashesPending, loadChanged, r.demand.Region == a.set.Region) {
			continue
		}
		r.sentAt = now
		m := *s
		m.Crashes, m.CrashesNext = a.routers.crashes.ReportsFrom(r.demand.CrashesFrom)
		m.CrashesAcked, r.crashesSent = a.routers.crashes.LastSeq(r.demand.Router), a.routers.crashes.NextNumber()
		if r.demand.HoldingsVersion == s.HoldingsVersion {
			m.Holdings = nil
		}
		if err := a.socket.Send(r.address, peer.Message{Report: &m}); err != nil {
			a.log.Request("message not sent", "err", err)
		}
	}
}

// due reports whether a report to a router is due, given the age of the last one. A change is sent at once, all else
// after the interval for the router's region.
func due(age time.Duration, changed, loadChanged, near bool) bool {
	switch {
	case changed:
		return true
	case near && loadChanged:
		return age >= loadChangeInterval
	case near:
		return age >= nearInterval
	}
	return age >= farInterval
}

func (a *Agent) buildReport(now time.Time) *peer.Report {
	s := &peer.Report{
		Queued: a.report.Queued, Running: a.report.Running, KVUsed: a.report.KVUsed, KVTotal: a.report.KVTotal,
		Routers: len(a.routers.liveNames(now)),
	}
	s.SetUpstream(a.report.Upstream, a.holdingsVersion)
	if a.lastSent != nil && !s.Holdings.Equal(a.lastSent.Holdings) {
		a.holdingsVersion++
		s.HoldingsVersion = a.holdingsVersion
	}
	if a.order != nil {
		s.Order, s.OrderRemainingMS = &a.order.order, a.order.remaining(now).Milliseconds()
	}
	if view, _, ok := a.view(now); ok {
		s.AvailableMemory = view.AvailableMemory()
	}
	return s
}

// compare reports whether s differs from the last report sent in the upstream's holdings, state or order, and whether
// it differs in the load.
func (a *Agent) compare(s *peer.Report) (changed, loadChanged bool) {
	last := a.lastSent
	if last == nil {
		return true, true
	}
	changed = s.HoldingsVersion != last.HoldingsVersion || s.ID != last.ID || s.Draining != last.Draining ||
		!reflect.DeepEqual(s.Order, last.Order)
	return changed, s.Queued != last.Queued || s.Running != last.Running || s.AvailableMemory.IdleMB != last.AvailableMemory.IdleMB
}

// position returns the index that the first upstream would have if all were sorted by id.
func position(all []catalog.Upstream) int {
	n := 0
	for _, u := range all[1:] {
		if u.ID < all[0].ID {
			n++
		}
	}
	return n
}
