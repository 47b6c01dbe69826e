package sidecar

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
)

// routerTimeout is how long after its last message a router is considered gone: two of its regular intervals to other
// regions plus a margin.
const routerTimeout = 4 * time.Second

// router is the last message received from a router and what was last sent to it.
type router struct {
	address     netip.AddrPort
	receivedAt  time.Time
	demand      *peer.Demand
	size        int       // encoded size of demand in bytes
	sentAt      time.Time // time of the last report sent to it
	crashesSent uint32    // number of the next crash report to send to it; lost ones are resent at the regular interval
}

// routers stores the last message of each router.
type routers struct {
	byName        map[string]*router
	adapterUsedAt map[placement.Adapter]time.Time
	crashes       *quarantine.Relay
	// perAddress counts the stored routers by IP address, demandBytes is the encoded size of their messages.
	perAddress  map[netip.Addr]int
	demandBytes int
}

func newRouters(now time.Time) *routers {
	return &routers{
		byName: map[string]*router{}, adapterUsedAt: map[placement.Adapter]time.Time{}, crashes: quarantine.NewRelay(uint32(now.UnixMilli())),
		perAddress: map[netip.Addr]int{},
	}
}

func (r *routers) applyMessage(now time.Time, from netip.AddrPort, d *peer.Demand, size int) {
	if d.Leaving {
		r.forget(d.Router)
		return
	}
	rt := r.store(now, from, d, size)
	r.crashes.Add(now, d.Crashes)
	if d.Probe {
		rt.sentAt = time.Time{} // makes a report due at once
	}
	for _, a := range d.UsedAdapters {
		r.recordAdapterUse(now, a)
	}
	for _, loadReq := range d.Here {
		if loadReq.Adapter != "" {
			r.recordAdapterUse(now, placement.Adapter{Model: loadReq.Model, Name: loadReq.Adapter})
		}
	}
}

func (r *routers) liveNames(now time.Time) []string {
	var names []string
	for name, rt := range r.byName {
		if now.Sub(rt.receivedAt) > routerTimeout {
			r.forget(name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// liveRouters returns the live routers sorted by name.
func (r *routers) liveRouters(now time.Time) []*router {
	var out []*router
	for _, name := range r.liveNames(now) {
		out = append(out, r.byName[name])
	}
	return out
}

// pooledSpeed returns the summary of the live routers' observations of the instance's speed; nil if there are none.
func (r *routers) pooledSpeed(now time.Time, id string, startedUnixMS int64) *speed.Summary {
	var observed []*speed.Observed
	for _, rt := range r.liveRouters(now) {
		if o := rt.demand.Speed; o != nil && o.ID == id && o.StartedUnixMS == startedUnixMS {
			observed = append(observed, o)
		}
	}
	return speed.Pool(observed)
}

// demand returns the combined demand of the live routers.
func (r *routers) demand(now time.Time) placement.Demand {
	d := placement.Demand{
		Models: map[string]int{}, Adapters: map[placement.Adapter]int{}, Urgent: map[string]int{}, Rate: map[string]float64{},
		AdapterUsed: r.adapterUsedAt, ModelUsage: map[string]placement.ModelUsage{}, ExtraReplicas: map[string]int{},
	}
	for _, name := range r.liveNames(now) {
		reported := r.byName[name].demand
		for _, loadReq := range reported.Here {
			if loadReq.Adapter == "" {
				d.Models[loadReq.Model] += loadReq.Waiting
			} else {
				d.Adapters[placement.Adapter{Model: loadReq.Model, Name: loadReq.Adapter}] += loadReq.Waiting
			}
		}
		for _, loadReq := range reported.Anywhere {
			if loadReq.ExtraReplica {
				d.ExtraReplicas[loadReq.Model] += loadReq.Waiting
			} else {
				d.Urgent[loadReq.Model] += loadReq.Waiting
			}
		}
		for _, name := range reported.Fetching {
			if !slices.Contains(d.Fetching, name) {
				d.Fetching = append(d.Fetching, name)
			}
		}
		if reported.FetchConcurrency > 0 && (d.FetchConcurrency == 0 || reported.FetchConcurrency < d.FetchConcurrency) {
			d.FetchConcurrency = reported.FetchConcurrency // loads beyond the store's capacity finish late
		}
		for _, usage := range reported.ModelUsage {
			d.Rate[usage.Model] += float64(usage.Rate)
			d.ModelUsage[usage.Model] = mergeUsage(d.ModelUsage, usage)
		}
	}
	return d
}

// mergeUsage adds one router's usage of a model to that of the other routers. If routers disagree on the number of
// higher-ranked upstreams, the lowest number counts.
func mergeUsage(usages map[string]placement.ModelUsage, usage peer.ModelUsage) placement.ModelUsage {
	out, ok := usages[usage.Model]
	if !ok {
		out = placement.ModelUsage{HigherRanked: usage.HigherRanked, Adapters: map[string]int{}}
	}
	out.HigherRanked, out.Running = min(out.HigherRanked, usage.HigherRanked), out.Running+usage.Running
	for name, n := range usage.Adapters {
		out.Adapters[name] += n
	}
	return out
}

// modelDemand returns the weighted demand for each model over all live routers, and the request rates of the models with
// a single copy. Routers that take another sidecar for the coordinator send no weights; their requests count fully.
func (r *routers) modelDemand(now time.Time) (weights, rates map[string]float64) {
	weights, rates = map[string]float64{}, map[string]float64{}
	for _, name := range r.liveNames(now) {
		reported := r.byName[name].demand
		for _, d := range reported.ModelDemand {
			weights[d.Model] += float64(d.Weight)
			rates[d.Model] += float64(d.SingleCopyRate)
		}
		if len(reported.ModelDemand) > 0 {
			continue
		}
		for _, loadReq := range reported.Anywhere {
			weights[loadReq.Model] += float64(loadReq.Waiting)
		}
	}
	return weights, rates
}
