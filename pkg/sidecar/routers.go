package sidecar

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
)

// routerSilent is how long after its last message a router counts as gone: two of its regular intervals to other regions
// and some slack.
const routerSilent = 4 * time.Second

type router struct {
	address netip.AddrPort
	seen    time.Time
	demand  *peer.Demand
	sentAt  time.Time // last message to it
	told    uint32    // number after the crash reports of which it has been told; lost ones follow at the regular interval
}

// routers holds the last message of each router.
type routers struct {
	byName  map[string]*router
	used    map[placement.Adapter]time.Time
	crashes *quarantine.Relay
}

func newRouters(now time.Time) *routers {
	return &routers{
		byName: map[string]*router{}, used: map[placement.Adapter]time.Time{}, crashes: quarantine.NewRelay(uint32(now.UnixMilli())),
	}
}

func (r *routers) take(now time.Time, from netip.AddrPort, d *peer.Demand) {
	if d.Leaving {
		delete(r.byName, d.Router)
		return
	}
	x := r.byName[d.Router]
	if x == nil {
		x = &router{}
		r.byName[d.Router] = x
	}
	x.address, x.seen, x.demand = from, now, d
	r.crashes.Add(now, d.Crashes)
	if d.Probe {
		x.sentAt = time.Time{} // its report is due
	}
	for _, a := range d.UsedAdapters {
		r.used[a] = now
	}
	for _, w := range d.Here {
		if w.Adapter != "" {
			r.used[placement.Adapter{Model: w.Model, Name: w.Adapter}] = now
		}
	}
}

func (r *routers) live(now time.Time) []string {
	var names []string
	for name, x := range r.byName {
		if now.Sub(x.seen) > routerSilent {
			delete(r.byName, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// all returns the live routers in the order of their names.
func (r *routers) all(now time.Time) []*router {
	var out []*router
	for _, name := range r.live(now) {
		out = append(out, r.byName[name])
	}
	return out
}

// demand sums up what the live routers ask for.
func (r *routers) demand(now time.Time) placement.Demand {
	d := placement.Demand{
		Models: map[string]int{}, Adapters: map[placement.Adapter]int{}, Urgent: map[string]int{}, Rate: map[string]float64{},
		AdapterUsed: r.used, Held: map[string]placement.Held{}, More: map[string]int{},
	}
	for _, name := range r.live(now) {
		x := r.byName[name].demand
		for _, w := range x.Here {
			if w.Adapter == "" {
				d.Models[w.Model] += w.Waiting
			} else {
				d.Adapters[placement.Adapter{Model: w.Model, Name: w.Adapter}] += w.Waiting
			}
		}
		for _, w := range x.Anywhere {
			if w.More {
				d.More[w.Model] += w.Waiting
			} else {
				d.Urgent[w.Model] += w.Waiting
			}
		}
		for _, name := range x.Fetching {
			if !slices.Contains(d.Fetching, name) {
				d.Fetching = append(d.Fetching, name)
			}
		}
		if x.Parallel > 0 && (d.Parallel == 0 || x.Parallel < d.Parallel) {
			d.Parallel = x.Parallel // more loads than the store serves end late
		}
		for _, h := range x.Held {
			d.Rate[h.Model] += float64(h.Rate)
			d.Held[h.Model] = merge(d.Held, h)
		}
	}
	return d
}

// merge adds what a router knows of a model to what others know. Where they disagree on the copies, the fewest count.
func merge(known map[string]placement.Held, h peer.Held) placement.Held {
	out, ok := known[h.Model]
	if !ok {
		out = placement.Held{Before: h.Before, Adapters: map[string]int{}}
	}
	out.Before, out.Running = min(out.Before, h.Before), out.Running+h.Running
	for name, n := range h.Adapters {
		out.Adapters[name] += n
	}
	return out
}
