package quota

import (
	"slices"
	"testing"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

// shares simulates quotas that are divided among the routers: each may use its share of the limit in any window. Shares
// are equal, or follow each router's demand as all routers read it from the store.
type shares struct {
	w        *world
	interval time.Duration // between two exchanges with the store; 0 for equal shares
	routers  int           // in the list, which shows a change after 3 s
	granted  map[*proc]map[string]*window
	demand   map[*proc]map[string]float64
	share    map[*proc]map[string][]float64 // as computed from the last two reads
	calls    int
}

func newShares(w *world, interval time.Duration) *shares {
	s := &shares{w: w, interval: interval, granted: map[*proc]map[string]*window{}, demand: map[*proc]map[string]float64{}, share: map[*proc]map[string][]float64{}}
	for _, p := range w.routers {
		s.granted[p], s.demand[p], s.share[p] = map[string]*window{}, map[string]float64{}, map[string][]float64{}
	}
	s.routers = len(w.routers)
	w.at(nil, 0, s.list)
	if interval > 0 {
		w.at(nil, interval, s.exchange)
	}
	return s
}

func (s *shares) list() {
	live := 0
	for _, p := range s.w.routers {
		if !p.dead && !p.cut {
			live++
		}
	}
	s.w.at(nil, 3*time.Second, func() {
		s.routers = live
		s.list()
	})
}

// exchange writes each router's demand to the store and reads that of all. A router uses the smaller one of its last two
// shares, so that the others have reduced theirs before it uses more.
func (s *shares) exchange() {
	s.w.at(nil, s.interval, s.exchange)
	if s.w.storeDown {
		return
	}
	total := map[string]float64{}
	for _, demand := range s.demand {
		for tenant, d := range demand {
			total[tenant] += d
		}
	}
	for _, p := range s.w.routers {
		if p.dead || p.cut || p.frozenUntil > s.w.now {
			continue
		}
		s.calls += 2
		for tenant, sum := range total {
			next := 0.1/float64(len(s.w.routers)) + 0.9*s.demand[p][tenant]/max(1, sum)
			last := s.share[p][tenant]
			s.share[p][tenant] = append(last[max(0, len(last)-1):], next)
		}
		for tenant := range s.demand[p] {
			s.demand[p][tenant] *= 0.7
		}
	}
}

// admit decides a request at once.
func (s *shares) admit(p *proc, t Tenant, amount float64) bool {
	g := s.granted[p][t.Name]
	if g == nil {
		g = &window{length: DefaultWindow}
		s.granted[p][t.Name] = g
	}
	s.demand[p][t.Name] += amount
	now := boottime.Instant(s.w.now)
	g.advance(now)
	part := 1 / float64(s.routers)
	if s.interval > 0 {
		if part = 0; len(s.share[p][t.Name]) == 2 {
			part = slices.Min(s.share[p][t.Name])
		}
	}
	if g.sum+amount > limitOf(t)*part {
		return false
	}
	g.add(now, amount)
	s.w.used[t.Name] = append(s.w.used[t.Name], use{s.w.now, amount})
	return true
}

// TestAlternatives compares ways to keep quotas over 390 routers with the faults of the requirements page. It guards
// against a change that makes the chosen one serve less, or exceed the limit, at this size.
func TestAlternatives(t *testing.T) {
	const routers = 390
	for _, c := range []struct {
		name     string
		interval time.Duration
		tokens   bool
	}{
		{"fixed shares", 0, false}, {"shares by demand, store every 2 s", 2 * time.Second, false},
		{"tokens from holders", 0, true},
	} {
		w := newWorld(7, routers, 40)
		w.loss, w.unsent = 0.01, 0
		tenants := testTenants(16)
		var s *shares
		if !c.tokens {
			s = newShares(w, c.interval)
			for _, p := range w.sidecars {
				p.dead = true
			}
		}
		w.run(4 * time.Second)
		tr := newTraffic(w, tenants, 0.6)
		if !c.tokens {
			tr.admit = s.admit
		}
		tr.from = 10 * time.Second
		faults(w, tenants)
		worst := 0.0
		for _, tenant := range testTenants(16) {
			worst = max(worst, w.worst(tenant.Name, DefaultWindow)/limitOf(tenant))
		}
		calls := w.writes + w.reads
		if s != nil {
			calls = s.calls
		}
		below := float64(max(1, tr.belowSent))
		t.Logf("%s: below the limit %d requests, %.1f%% refused or later than 100 ms (%.1f%% not served); largest window %.2f of the limit; %d store calls and %d datagrams in 76 s",
			c.name, tr.belowSent, 100*float64(tr.belowBad)/below, 100*float64(tr.belowLost)/below, worst, calls, w.messages)
		if c.tokens && (worst > 1 || float64(tr.belowLost) > 0.05*below) {
			t.Errorf("%s: largest window %.2f of the limit, %d of %d requests below the limit not served", c.name, worst, tr.belowLost, tr.belowSent)
		}
	}
}

// faults runs the world until 80 s: routers and a holder are killed, frozen and cut off, the store is down, and the
// limits are lowered.
func faults(w *world, tenants []Tenant) {
	holder := func(shard int) *proc {
		i := slices.IndexFunc(w.sidecars, func(p *proc) bool { return p.name == w.objects[shard].Spec.Node })
		return w.sidecars[max(0, i)]
	}
	w.run(15 * time.Second)
	for _, p := range append(slices.Clone(w.routers[:40]), holder(0)) {
		p.dead = true
	}
	w.run(25 * time.Second)
	for _, p := range append(slices.Clone(w.routers[40:60]), holder(1)) {
		p.frozenUntil = w.now + 6*time.Second
	}
	w.run(35 * time.Second)
	cut := append(slices.Clone(w.routers[60:100]), holder(2))
	for _, p := range cut {
		p.cut = true
	}
	w.run(45 * time.Second)
	for _, p := range cut {
		p.cut = false
	}
	w.storeDown = true
	w.run(46500 * time.Millisecond)
	w.storeDown = false
	w.run(55 * time.Second)
	for i := range tenants {
		tenants[i].Rate, tenants[i].Burst, tenants[i].Config = tenants[i].Rate*0.7, tenants[i].Burst*0.7, 2
	}
	w.run(80 * time.Second)
}
