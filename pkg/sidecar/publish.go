package sidecar

import (
	"reflect"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

const (
	// sameRegionInterval is the time between two regular reports to a router in the sidecar's own region, and
	// otherRegionInterval to a router in another region. Traffic between regions is charged by volume.
	sameRegionInterval  = 500 * time.Millisecond
	otherRegionInterval = 1500 * time.Millisecond
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
	report := a.buildReport(now)
	changed, loadChanged := a.compare(report)
	a.lastSent = report
	for _, r := range a.routers.liveRouters(now) {
		crashesPending := a.routers.crashes.NextNumber() != r.crashesSent
		if !due(now.Sub(r.sentAt), changed || crashesPending, loadChanged, r.demand.Region == a.settings.Region) {
			continue
		}
		r.sentAt = now
		routerReport := *report
		routerReport.AgeMS = boottime.Now().Sub(a.readAt).Milliseconds()
		routerReport.Crashes, routerReport.CrashesNext = a.routers.crashes.ReportsFrom(r.demand.CrashesFrom)
		routerReport.CrashesAcked, r.crashesSent = a.routers.crashes.LastSeq(r.demand.Router), a.routers.crashes.NextNumber()
		if r.demand.HoldingsVersion == report.HoldingsVersion {
			routerReport.Holdings = nil
		}
		if err := a.socket.Send(r.address, peer.Message{Report: &routerReport}); err != nil {
			a.log.Request("message not sent", "err", err)
		}
	}
}

// endNotices is the number of notices of an ended engine that are sent to each router, one after each failed read of the
// engine's report, since datagrams can be lost.
const endNotices = 3

// publishEnd tells the routers that the process of the upstream that last reported has ended.
func (a *Agent) publishEnd() {
	upstream := a.report.Upstream
	if upstream.ID != a.endedID {
		a.endedID, a.endNoticesSent = upstream.ID, 0
	}
	if upstream.ID == "" || a.endNoticesSent >= endNotices {
		return
	}
	a.endNoticesSent++
	notice := peer.Message{Report: &peer.Report{ID: upstream.ID, StartedUnixMS: upstream.StartedUnixMS, Ended: true}}
	for _, r := range a.routers.liveRouters(time.Now()) {
		if err := a.socket.Send(r.address, notice); err != nil {
			a.log.Request("message not sent", "err", err)
		}
	}
}

// due reports whether a report to a router is due, given the age of the last one. A change is sent at once, all else
// after the interval for the router's region.
func due(age time.Duration, changed, loadChanged, sameRegion bool) bool {
	switch {
	case changed:
		return true
	case sameRegion && loadChanged:
		return age >= loadChangeInterval
	case sameRegion:
		return age >= sameRegionInterval
	}
	return age >= otherRegionInterval
}

func (a *Agent) buildReport(now time.Time) *peer.Report {
	report := &peer.Report{
		Queued: a.report.Queued, Running: a.report.Running, KVUsed: a.report.KVUsed, KVTotal: a.report.KVTotal,
		Routers: len(a.routers.liveNames(now)), Quotas: a.quotas.announcements(), Limits: a.limits.announcements(),
	}
	report.SetUpstream(a.report.Upstream, a.holdingsVersion)
	report.Service = a.report.Upstream.Service
	report.Speed = a.routers.pooledSpeed(now, report.ID, report.StartedUnixMS)
	a.prompts.applySpeed(now, report.Speed)
	if a.lastSent != nil && !report.Holdings.Equal(a.lastSent.Holdings) {
		a.holdingsVersion++
		report.HoldingsVersion = a.holdingsVersion
	}
	report.ExpectedLoads, report.StoreConcurrency = a.expectedLoads()
	if a.order != nil {
		report.Order, report.OrderRemainingMS = &a.order.order, a.order.remaining(now).Milliseconds()
	}
	if view, _, ok := a.view(now); ok {
		report.AvailableMemory = view.AvailableMemory()
	}
	a.prompts.setReport(report)
	return report
}

// compare reports whether s differs from the last report sent in the upstream's holdings, state or order, and whether
// it differs in the load.
func (a *Agent) compare(report *peer.Report) (changed, loadChanged bool) {
	last := a.lastSent
	if last == nil {
		return true, true
	}
	changed = report.HoldingsVersion != last.HoldingsVersion || report.ID != last.ID || report.StartedUnixMS != last.StartedUnixMS || report.Service != last.Service || report.Draining != last.Draining ||
		!reflect.DeepEqual(report.Order, last.Order)
	return changed, report.Queued != last.Queued || report.PromptTokens != last.PromptTokens || report.PromptTokensWaiting != last.PromptTokensWaiting || report.Running != last.Running || report.AvailableMemory.IdleMB != last.AvailableMemory.IdleMB
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
