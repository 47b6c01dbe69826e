package sidecar

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

// Messages carry no proof of their sender, so what they make a sidecar store is bounded.
const (
	// maxRouters bounds the routers whose messages are stored; the design size is 390.
	maxRouters = 512
	// maxRoutersPerAddress bounds those of one IP address. A router has an address of its own; the bound keeps a single
	// sender of forged messages from taking all places.
	maxRoutersPerAddress = 8
	// maxDemandBytes bounds the encoded size of the stored messages. Decoded they take about four times as much. 390
	// routers with messages of 4 kB need 1.6 MB.
	maxDemandBytes = 4 << 20
	// maxAdapterUses bounds the adapters whose last use is stored; a deployment has some hundreds.
	maxAdapterUses = 4096
)

// admit reports whether a message may be stored.
func (r *routers) admit(from netip.AddrPort, d *peer.Demand, size int) bool {
	known := r.byName[d.Router]
	switch {
	case d.Leaving:
		return true
	case known == nil:
		return len(r.byName) < maxRouters && r.perAddress[from.Addr()] < maxRoutersPerAddress && r.demandBytes+size <= maxDemandBytes
	}
	return r.demandBytes-known.size+size <= maxDemandBytes
}

// store stores the message of a router in place of its last one.
func (r *routers) store(now time.Time, from netip.AddrPort, d *peer.Demand, size int) *router {
	rt := r.byName[d.Router]
	if rt == nil {
		rt = &router{}
	} else {
		r.forget(d.Router)
	}
	rt.address, rt.receivedAt, rt.demand, rt.size = from, now, d, size
	r.byName[d.Router] = rt
	r.perAddress[from.Addr()]++
	r.demandBytes += size
	return rt
}

// forget removes a router.
func (r *routers) forget(name string) {
	rt := r.byName[name]
	if rt == nil {
		return
	}
	delete(r.byName, name)
	r.demandBytes -= rt.size
	if r.perAddress[rt.address.Addr()]--; r.perAddress[rt.address.Addr()] == 0 {
		delete(r.perAddress, rt.address.Addr())
	}
}

// dropOldAdapterUses drops the older half of the adapters' last uses if there are too many.
func (r *routers) dropOldAdapterUses() {
	if len(r.adapterUsedAt) <= maxAdapterUses {
		return
	}
	used := make([]time.Time, 0, len(r.adapterUsedAt))
	for _, at := range r.adapterUsedAt {
		used = append(used, at)
	}
	slices.SortFunc(used, time.Time.Compare)
	oldest := used[len(used)/2]
	for a, at := range r.adapterUsedAt {
		if !at.After(oldest) {
			delete(r.adapterUsedAt, a)
		}
	}
}

// recordAdapterUse records that requests have used an adapter.
func (r *routers) recordAdapterUse(now time.Time, a placement.Adapter) {
	r.adapterUsedAt[a] = now
	r.dropOldAdapterUses()
}
