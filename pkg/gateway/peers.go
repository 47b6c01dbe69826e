package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/guard"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
)

const (
	// demandInterval is the time between two regular messages to an agent in the router's region. Traffic between regions
	// is paid by volume: agents elsewhere get one in farTicks.
	demandInterval = 500 * time.Millisecond
	farTicks       = 3
	// askInterval is the time between two questions to an agent for a sign of life.
	askInterval = 100 * time.Millisecond
)

// Location says where a router is.
type Location struct {
	Router, Zone string
	// ZoneRegion maps each availability zone to its region.
	ZoneRegion map[string]string
}

// Peers exchanges messages with the agents.
type Peers struct {
	core   *Core
	socket *peer.Socket
	log    *eventlog.Log
	guard  *guard.Guard
	place  Location
	port   uint16 // of all agents
	reach  func(bool)
	cut    bool // reach has been called with false
	// crashes is the number of the last own crash report that was sent to the relays.
	crashes uint64
}

// NewPeers returns the exchange of the router with the agents, which listen on port beside their upstreams. reach is called
// with false when the router no longer reaches the upstreams, and with true when it does again.
func NewPeers(core *Core, socket *peer.Socket, log *eventlog.Log, g *guard.Guard, place Location, port int, reach func(bool)) *Peers {
	return &Peers{core: core, socket: socket, log: log, guard: g, place: place, port: uint16(port), reach: reach}
}

// Run exchanges messages until ctx ends. The socket is closed after the last message, which says that the router leaves.
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
	p.talk(ctx)
	stop()
	return <-ended
}

// receive takes the agents' reports until ctx ends.
func (p *Peers) receive(ctx context.Context) error {
	return p.socket.Receive(ctx, func(_ netip.AddrPort, m peer.Message) {
		if m.State != nil {
			p.guard.Try("agent's report", func() { p.report(m.State) })
		}
	}, func(from netip.AddrPort, err error) {
		p.log.Request("message not received", "from", from.String(), "err", err)
	})
}

func (p *Peers) report(r *peer.State) {
	changed, back := false, false
	p.core.Do(func(s *dispatch.State) {
		back = s.Fleet.RecordHeartbeat(time.Now(), r.ID)
		changed = s.ApplyReport(time.Now(), r)
		s.Crashes.Merge(time.Now(), r.Crashes)
		if r.Routers > 0 {
			s.SetRouters(r.Routers)
		}
	})
	if back {
		p.log.State("upstream is no longer silent", "upstream", r.ID)
	}
	if !changed && !back {
		return
	}
	p.core.Update(func(*dispatch.State) {})
	if !changed {
		return
	}
	p.log.State("upstream reported a change", "upstream", r.ID, "holdings", r.Version, "order", r.Order)
}

// talk sends messages at regular intervals, and at once when something new is wanted, until ctx ends.
func (p *Peers) talk(ctx context.Context) {
	tick := time.NewTicker(demandInterval)
	defer tick.Stop()
	ask := time.NewTicker(askInterval)
	defer ask.Stop()
	for n := 0; ; {
		select {
		case <-ctx.Done():
			p.do(func() { p.sendAll(true, true) })
			return
		case <-ask.C:
			p.do(p.askQuiet)
		case <-tick.C:
			p.do(func() { p.sendAll(n%farTicks == 0, false) })
			n++
		case <-p.core.listed:
			p.do(func() { p.sendAll(true, false) })
		case w := <-p.core.wanted:
			p.do(func() { p.sendTo(w.Upstream) })
		}
	}
}

// do takes one step of the exchange. A panic ends the step only.
func (p *Peers) do(step func()) { p.guard.Do("messages to agents", step) }

func (p *Peers) sendAll(far, leaving bool) {
	var zones map[string]string
	p.core.Do(func(s *dispatch.State) { zones = s.Fleet.Zones() })
	region := p.place.ZoneRegion[p.place.Zone]
	for address, zone := range zones {
		if far || p.place.ZoneRegion[zone] == region {
			p.send(address, p.demand(address, leaving))
		}
	}
}

// askQuiet asks the agents beside upstreams that work depends on, and of which nothing was heard lately, for a report, and
// after a start all that have not reported yet. New crash reports go to the relays.
func (p *Peers) askQuiet() {
	now := time.Now()
	var silent []string
	addresses := map[string]bool{}
	cut := false
	p.core.Do(func(s *dispatch.State) {
		cut = s.IsPartitioned(now)
		if last := s.Crashes.LastSeq(); last != p.crashes {
			p.crashes = last
			for _, address := range s.Relays(now) {
				addresses[address] = true
			}
		}
		for _, m := range s.Unreported(now) {
			addresses[m.Address] = true
		}
		for _, m := range s.Quiet(now) {
			addresses[m.Address] = true
			if s.Fleet.RecordProbe(now, m.ID) {
				silent = append(silent, m.ID)
			}
		}
	})
	if cut != p.cut {
		p.cut = cut
		p.reach(!cut)
		p.log.State("reach of upstreams changed", "within_reach", !cut)
	}
	for address := range addresses {
		d := p.demand(address, false)
		d.Probe = true
		p.send(address, d)
	}
	if len(silent) > 0 {
		p.core.Update(func(*dispatch.State) {})
		p.core.giveUpSends(silent)
		p.log.State("upstreams are silent", "upstreams", silent)
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
	d := &peer.Demand{Router: p.place.Router, Region: p.place.ZoneRegion[p.place.Zone], Leaving: leaving}
	p.core.Do(func(s *dispatch.State) {
		now := time.Now()
		for w, n := range s.LoadRequests(now) {
			want := peer.LoadRequest{Model: w.Model, Adapter: w.Name, Waiting: n, More: s.More(w)}
			if m := s.Fleet.Get(w.Upstream); m != nil && m.Address == address {
				d.Here = append(d.Here, want)
			}
			if w.Name == "" {
				d.Anywhere = append(d.Anywhere, want)
			}
		}
		d.Fetching, d.Parallel = s.Fetching(now), s.Parallel(now)
		for _, id := range s.Fleet.IDsAt(address) {
			next, seen := s.Fleet.CrashReports(id)
			d.CrashesFrom = max(d.CrashesFrom, next)
			if unknown := s.Crashes.After(now, seen); len(unknown) > 0 && s.IsRelay(now, address) {
				d.Crashes = unknown
			}
			d.UsedAdapters = append(d.UsedAdapters, s.TakeUsedAdapters(id)...)
			d.Held = append(d.Held, s.Held(now, id)...)
			d.Known = max(d.Known, s.Fleet.Known(id))
		}
	})
	return d
}

func (p *Peers) send(address string, d *peer.Demand) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		p.log.Request("upstream address cannot be read", "address", address, "err", err)
		return
	}
	if err := p.socket.Send(netip.AddrPortFrom(ap.Addr(), p.port), peer.Message{Demand: d}); err != nil {
		p.log.Request("message not sent", "err", err)
	}
}
