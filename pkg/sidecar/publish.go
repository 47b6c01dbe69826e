package sidecar

import (
	"reflect"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

const (
	// nearInterval is the time between two regular messages to a router in the agent's region, and farInterval to one in
	// another region: traffic between regions is paid by volume.
	nearInterval = 500 * time.Millisecond
	farInterval  = 1500 * time.Millisecond
	// loadInterval is the time between two messages to a router in the region that tell a change of the load only.
	loadInterval = 250 * time.Millisecond
)

// publish tells the routers what has changed, and at regular intervals that nothing has.
func (a *Agent) publish() {
	now := time.Now()
	if a.report.Upstream.ID == "" {
		return
	}
	s := a.state(now)
	news, load := a.compare(s)
	a.sent = s
	for _, r := range a.routers.all(now) {
		reports := a.routers.crashes.NextNumber() != r.told
		if !due(now.Sub(r.sentAt), news || reports, load, r.demand.Region == a.set.Region) {
			continue
		}
		r.sentAt = now
		m := *s
		m.Crashes, m.CrashesNext = a.routers.crashes.ReportsFrom(r.demand.CrashesFrom)
		m.CrashesAcked, r.told = a.routers.crashes.LastSeq(r.demand.Router), a.routers.crashes.NextNumber()
		if r.demand.Known == s.Version {
			m.Holdings = nil
		}
		if err := a.socket.Send(r.address, peer.Message{State: &m}); err != nil {
			a.log.Request("message not sent", "err", err)
		}
	}
}

// due reports whether a router gets a message: news at once, all else after the interval for its distance.
func due(age time.Duration, news, load, near bool) bool {
	switch {
	case news:
		return true
	case near && load:
		return age >= loadInterval
	case near:
		return age >= nearInterval
	}
	return age >= farInterval
}

func (a *Agent) state(now time.Time) *peer.State {
	s := &peer.State{
		Queued: a.report.Queued, Running: a.report.Running, KVUsed: a.report.KVUsed, KVTotal: a.report.KVTotal,
		Routers: len(a.routers.live(now)),
	}
	s.SetUpstream(a.report.Upstream, a.version)
	if a.sent != nil && !s.Holdings.Equal(a.sent.Holdings) {
		a.version++
		s.Version = a.version
	}
	if a.order != nil {
		s.Order, s.OrderRemainingMS = &a.order.order, a.order.rest(now).Milliseconds()
	}
	if view, _, ok := a.view(now); ok {
		s.Room = view.Room()
	}
	return s
}

// compare reports whether the state differs from the last one in what the upstream holds or does, and in its load.
func (a *Agent) compare(s *peer.State) (news, load bool) {
	last := a.sent
	if last == nil {
		return true, true
	}
	news = s.Version != last.Version || s.ID != last.ID || s.Draining != last.Draining ||
		!reflect.DeepEqual(s.Order, last.Order)
	return news, s.Queued != last.Queued || s.Running != last.Running || s.Room.IdleMB != last.Room.IdleMB
}

// position returns the place of the first upstream among all by id.
func position(all []catalog.Upstream) int {
	n := 0
	for _, u := range all[1:] {
		if u.ID < all[0].ID {
			n++
		}
	}
	return n
}
