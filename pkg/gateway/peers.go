package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
)

const (
	// demandInterval is the time between two regular messages to an agent in the router's region. Traffic between
	// regions is billed by volume, so agents in other regions get only every third message (otherRegionTicks).
	demandInterval   = 500 * time.Millisecond
	otherRegionTicks = 3
	// probeInterval is the time between two probes of an agent.
	probeInterval = 100 * time.Millisecond
)

// Location is the name of a router and its availability zone.
type Location struct {
	Router, Zone string
	// ZoneRegion maps each availability zone to its region.
	ZoneRegion map[string]string
}

// Peers exchanges messages with the agents.
type Peers struct {
	core        *Core
	socket      *peer.Socket
	log         *eventlog.Log
	guard       *guard.Guard
	location    Location
	port        uint16 // of all agents
	onReachable func(bool)
	partitioned bool     // reports whether onReachable was last called with false
	queryPool   *h1.Pool // only dials: queries use new connections and close them
	// sentCrashSeq is the number of this router's last crash report that was sent to the relays.
	sentCrashSeq uint64
	quotas       *Quotas // nil if quotas are not observed
	limits       *Limits // nil if limits are not kept
}

// NewPeers returns the message exchange of the router with the agents, which listen on port beside their upstreams.
// onReachable is called with false when the router becomes partitioned from the upstreams, and with true when it
// reaches them again.
func NewPeers(core *Core, socket *peer.Socket, log *eventlog.Log, g *guard.Guard, location Location, port int, onReachable func(bool)) *Peers {
	p := &Peers{core: core, socket: socket, log: log, guard: g, location: location, port: uint16(port), onReachable: onReachable,
		queryPool: h1.NewPool()}
	core.prompts.start(location.Router, p.sendMessage)
	return p
}

// Run exchanges messages until ctx ends. The socket is closed after the last message, which announces that the router
// is leaving.
func (p *Peers) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listen, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() {
		defer cancel()
		ended <- p.receive(listen)
	}()
	p.sendLoop(ctx)
	stop()
	return <-ended
}

// receive applies the agents' reports until ctx ends.
func (p *Peers) receive(ctx context.Context) error {
	return p.socket.Receive(ctx, func(from netip.AddrPort, m peer.Message) {
		switch {
		case m.PromptAnswer != nil:
			p.guard.Try("agent's answer", func() { p.applyPromptAnswer(from, m.PromptAnswer) })
		case m.Report != nil:
			p.guard.Try("agent's report", func() { p.applyReport(m.Report) })
			p.guard.Try("limits of upstreams", func() { p.limits.announced(m.Report.Limits, m.Report.Routers) })
			p.guard.Try("quota holders", func() { p.quotas.applyAnnouncements(from, m.Report.Quotas) })
		case m.LimitGrant != nil:
			p.guard.Try("limit grant", func() { p.limits.apply(m.LimitGrant) })
		case m.QuotaGrant != nil:
			p.guard.Try("quota grant", func() { p.quotas.applyGrant(from, m.QuotaGrant) })
		}
	}, func(from netip.AddrPort, err error) {
		p.log.Request("message not received", "from", from.String(), "err", err)
	})
}

func (p *Peers) applyReport(report *peer.Report) {
	if report.ID == "" {
		return // announces a quota holder only
	}
	if report.Ended {
		p.core.Do(func(s *dispatch.State) { s.RecordUpstreamEnded(time.Now(), report.ID) })
		return
	}
	changed, recovered, listed, service := false, false, false, ""
	p.core.Do(func(s *dispatch.State) {
		recovered = s.Fleet.RecordHeartbeat(time.Now(), report.ID, report.StartedUnixMS)
		changed = s.ApplyReport(time.Now(), report)
		s.Crashes.Merge(time.Now(), report.Crashes)
		if m := s.Fleet.Get(report.ID); m != nil {
			listed, service = m.IsListed(), m.Service
		}
	})
	if recovered {
		p.log.State("upstream is no longer silent", "upstream", report.ID)
	}
	if !changed && !recovered {
		return
	}
	p.core.Update(func(*dispatch.State) {})
	if !changed {
		return
	}
	p.log.State("upstream reported a change", "upstream", report.ID, "listed", listed, "service", service, "address", report.Address, "born", report.StartedUnixMS, "holdings", report.HoldingsVersion, "order", report.Order)
}

// sendLoop sends messages at regular intervals, and immediately for a new load request, until ctx ends.
func (p *Peers) sendLoop(ctx context.Context) {
	tick := time.NewTicker(demandInterval)
	defer tick.Stop()
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	for n := 0; ; {
		select {
		case <-ctx.Done():
			p.runStep(func() { p.sendAll(true, true) })
			return
		case <-probe.C:
			p.runStep(func() { p.sendProbes(ctx) })
		case <-tick.C:
			p.runStep(func() { p.sendAll(n%otherRegionTicks == 0, false) })
			n++
		case <-p.core.upstreamsListed:
			p.runStep(func() { p.sendAll(true, false) })
		case loadReq := <-p.core.loadRequests:
			p.runStep(func() { p.sendTo(loadReq.Upstream) })
		}
	}
}

// runStep runs one step of the exchange. A panic ends only the step.
func (p *Peers) runStep(step func()) { p.guard.Do("messages to agents", step) }

func (p *Peers) sendAll(otherRegions, leaving bool) {
	var zones map[string]string
	p.core.Do(func(s *dispatch.State) { zones = s.Fleet.Zones() })
	region := p.location.ZoneRegion[p.location.Zone]
	for address, zone := range zones {
		if otherRegions || p.location.ZoneRegion[zone] == region {
			p.send(address, p.demand(address, leaving))
		}
	}
}

// sendProbes probes the agents of upstreams that have open requests but sent no recent heartbeat and, after a start,
// all agents that have not reported yet. It queries the engines whose agents do not answer, and aborts the attempts at
// upstreams where neither has. It also sends new crash reports to the relays.
func (p *Peers) sendProbes(ctx context.Context) {
	now := time.Now()
	var unresponsive []string
	var verdicts []quarantine.Verdict
	var evidence []quarantine.Evidence
	addresses := map[string]bool{}
	partitioned := false
	var confirmed []string // unresponsive upstreams whose attempts are aborted
	var queries []*dispatch.UpstreamRef
	var speedChanges []dispatch.SpeedChange
	p.core.Do(func(s *dispatch.State) {
		s.Fleet.RecordTick(now, boottime.Now())
		s.Fleet.Expire(now)
		partitioned = s.IsPartitioned(now)
		verdicts = s.Crashes.TakeVerdicts(now)
		evidence = s.Crashes.TakeEvidence()
		speedChanges = s.TakeSpeedChanges(now)
		if last := s.Crashes.LastSeq(); last != p.sentCrashSeq {
			p.sentCrashSeq = last
			for _, address := range s.Relays(now) {
				addresses[address] = true
			}
		}
		for _, m := range s.Unreported(now) {
			addresses[m.Address] = true
		}
		for _, m := range s.MembersToProbe(now) {
			addresses[m.Address] = true
			if s.Fleet.RecordProbe(now, m.ID) {
				unresponsive = append(unresponsive, m.ID)
			}
		}
		for _, m := range s.MembersToQuery(now) {
			queries = append(queries, &dispatch.UpstreamRef{ID: m.ID, Address: m.Address, Zone: m.Zone, StartedUnixMS: m.StartedUnixMS})
		}
		confirmed = s.Fleet.TakeConfirmedUnresponsive(now)
	})
	if partitioned != p.partitioned {
		p.partitioned = partitioned
		p.onReachable(!partitioned)
		p.log.State("reach of upstreams changed", "within_reach", !partitioned)
	}
	for _, v := range verdicts {
		p.log.State("prompt part is refused", "key", v.Part, "crashes", v.Crashes, "last_crash_ms", v.LastCrash.Milliseconds(), "for_ms", v.Until.Sub(now).Milliseconds())
	}
	for _, e := range evidence {
		p.log.State("interrupted request examined", "fingerprint", e.Fingerprint, "upstream", e.Upstream, "counted", e.Counted, "age_ms", e.Age.Milliseconds(), "crashes", e.Crashes)
	}
	for _, c := range speedChanges {
		p.log.State("speed of upstream changed", "upstream", c.Upstream, "slowness", c.Slowness, "prefill", c.Prefill, "interval", c.Interval, "confidence", c.Confidence)
	}
	for address := range addresses {
		d := p.demand(address, false)
		d.Probe = true
		p.send(address, d)
	}
	for _, u := range queries {
		p.queryEngine(ctx, u)
	}
	if len(unresponsive) > 0 {
		p.core.Update(func(*dispatch.State) {})
		p.log.State("upstreams are silent", "upstreams", unresponsive)
	}
	if len(confirmed) > 0 {
		p.core.abortAttempts(confirmed)
		p.log.State("attempts at unresponsive upstreams aborted", "upstreams", confirmed)
	}
}

func (p *Peers) sendTo(upstream string) {
	address := ""
	p.core.Do(func(s *dispatch.State) {
		if m := s.Fleet.Get(upstream); m != nil {
			address = m.Address
		}
	})
	if address != "" {
		p.send(address, p.demand(address, false))
	}
}

// demand returns the message for the agent beside the upstream at the address.
func (p *Peers) demand(address string, leaving bool) *peer.Demand {
	d := &peer.Demand{Router: p.location.Router, Region: p.location.ZoneRegion[p.location.Zone], Leaving: leaving}
	p.core.Do(func(s *dispatch.State) {
		now := time.Now()
		for loadReq, waiting := range s.LoadRequests(now) {
			peerReq := peer.LoadRequest{Model: loadReq.Model, Adapter: loadReq.Name, Waiting: waiting, ExtraReplica: s.WantsExtraReplica(loadReq)}
			if m := s.Fleet.Get(loadReq.Upstream); m != nil && m.Address == address {
				d.Here = append(d.Here, peerReq)
			}
			if loadReq.Name == "" {
				d.Anywhere = append(d.Anywhere, peerReq)
			}
		}
		d.Fetching, d.FetchConcurrency = s.Fetching(now), s.FetchConcurrency(now)
		d.ModelDemand = s.FetchDemand(now, address)
		for _, id := range s.Fleet.IDsAt(address) {
			nextReport, ackedSeq := s.Fleet.CrashReports(id)
			d.CrashesFrom = max(d.CrashesFrom, nextReport)
			if reports := s.Crashes.ReportsAfter(now, ackedSeq); len(reports) > 0 && s.IsRelay(now, address) {
				d.Crashes = reports
			}
			d.UsedAdapters = append(d.UsedAdapters, s.TakeUsedAdapters(id)...)
			d.ModelUsage = append(d.ModelUsage, s.ModelUsage(now, id)...)
			d.HoldingsVersion = max(d.HoldingsVersion, s.Fleet.HoldingsVersion(id))
			if observed := s.ObservedSpeed(now, id); observed != nil {
				d.Speed = observed
			}
		}
	})
	return d
}

func (p *Peers) send(address string, d *peer.Demand) { p.sendMessage(address, peer.Message{Demand: d}) }

// sendMessage sends a message to the agent beside the upstream at the address.
func (p *Peers) sendMessage(address string, m peer.Message) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		p.log.Request("upstream address is malformed", "address", address, "err", err)
		return
	}
	if err := p.socket.Send(netip.AddrPortFrom(ap.Addr(), p.port), m); err != nil {
		p.log.Request("message not sent", "err", err)
	}
}
