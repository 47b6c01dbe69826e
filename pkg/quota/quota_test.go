package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// traffic sends requests of the tenants to random routers: long ones at times of the tenant's share of its rate, and
// small ones. It counts the results.
type traffic struct {
	w                            *world
	tenants                      []Tenant
	load                         []float64 // share of the rate, by tenant
	sent, ran, refused, gaveUp   []int
	slow                         []int // ran more than 100 ms after the arrival
	longSent, longRan, urgentRan []int
	urgentSent                   []int
	oneRouter                    bool
	patience                     time.Duration
	from                         time.Duration // results of earlier requests are not counted
	arrivals                     *world        // as if all requests had run
	// belowSent counts requests below the limit, belowBad those of them that were refused or slow, and belowLost those that
	// did not run.
	belowSent, belowBad, belowLost int
	admit                          func(p *proc, t Tenant, amount float64) bool // decides in place of the balance
}

func newTraffic(w *world, tenants []Tenant, load float64) *traffic {
	n := len(tenants)
	c := &traffic{w: w, tenants: tenants, patience: 4 * time.Second, arrivals: &world{used: map[string][]use{}}}
	for range n {
		c.load = append(c.load, load)
	}
	for _, counts := range []*[]int{&c.sent, &c.ran, &c.refused, &c.gaveUp, &c.slow, &c.longSent, &c.longRan, &c.urgentSent, &c.urgentRan} {
		*counts = make([]int, n)
	}
	for i := range tenants {
		c.next(i)
	}
	return c
}

// next schedules the next request of a tenant: two of three are small, as many of either are urgent.
func (c *traffic) next(i int) {
	const small, long, mean = 200.0, 9200.0, (2*200.0 + 9200.0) / 3
	t := c.tenants[i]
	gap := time.Duration(c.w.rand.ExpFloat64() * mean / (t.Rate * max(c.load[i], 0.001)) * float64(time.Second))
	c.w.at(nil, gap, func() {
		amount, priority := small, c.w.rand.IntN(2)
		if c.w.rand.IntN(3) == 0 {
			amount = long
			if c.w.rand.IntN(20) == 0 {
				amount = min(50_000, t.Rate*1.8)
			}
		}
		p := c.w.routers[0]
		if !c.oneRouter {
			p = c.w.routers[c.w.rand.IntN(len(c.w.routers))]
		}
		below := c.arrivals.arrive(c.w.now, t, amount)
		counted, live := c.w.now >= c.from, !p.dead && !p.cut && p.frozenUntil <= c.w.now
		if live {
			result := func(ran bool, delay time.Duration, over bool) {
				if !counted {
					return
				}
				c.sent[i]++
				if below {
					c.belowSent++
					if !ran {
						c.belowLost++
					}
					if over || delay > 100*time.Millisecond {
						c.belowBad++
					}
				}
				count := func(ok bool, counts []int) {
					if ok {
						counts[i]++
					}
				}
				count(ran, c.ran)
				count(over, c.refused)
				count(!ran && !over, c.gaveUp)
				count(ran && delay > 100*time.Millisecond, c.slow)
				count(amount == long, c.longSent)
				count(amount == long && ran, c.longRan)
				count(priority == 0, c.urgentSent)
				count(priority == 0 && ran, c.urgentRan)
			}
			if c.admit != nil {
				ran := c.admit(p, c.tenants[i], amount)
				result(ran, 0, !ran)
			} else {
				p.request(c.tenants[i], amount, priority, c.patience, result)
			}
		}
		c.next(i)
	})
}

// arrive records an arrival and reports whether all arrivals of the window are within the limit.
func (w *world) arrive(at time.Duration, t Tenant, amount float64) bool {
	uses := append(w.used[t.Name], use{at, amount})
	sum := 0.0
	for len(uses) > 0 && at-uses[0].at > DefaultWindow {
		uses = uses[1:]
	}
	for _, u := range uses {
		sum += u.amount
	}
	w.used[t.Name] = uses
	return sum <= limitOf(t)
}

func sum(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

func testTenants(n int) []Tenant {
	var out []Tenant
	for i := range n {
		rate := 29_000.0
		if i%4 == 0 {
			rate = 175_196
		}
		out = append(out, Tenant{Name: fmt.Sprint("tenant-", i), Rate: rate, Burst: rate, Small: 200, Config: 1})
	}
	return out
}

func limitOf(t Tenant) float64 { return Limit{t.Rate, t.Burst, DefaultWindow}.Max() }

// Guards against more than the limit in any window: tenants send ten times their rate while datagrams are lost, doubled
// and late, holders are killed, frozen, cut off and restarted, routers are frozen and restarted, and the store is down or
// loses answers.
func TestLimitHoldsUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		w := newWorld(seed, 12, 10)
		w.loss = 0.1
		tenants := testTenants(8)
		newTraffic(w, tenants, 3)
		for step := range 60 {
			w.run(time.Duration(step) * time.Second)
			if step == 40 { // a lower limit, which holds after one window
				for i := range tenants {
					tenants[i].Rate, tenants[i].Burst, tenants[i].Config = tenants[i].Rate*0.6, tenants[i].Burst*0.6, 2
				}
			}
			p := w.procs[w.rand.IntN(len(w.procs))]
			if w.rand.IntN(2) == 0 { // the last writer of a lease
				for _, s := range w.sidecars {
					if s.name == w.objects[w.rand.IntN(Shards)].Spec.Node {
						p = s
					}
				}
			}
			switch w.rand.IntN(7) {
			case 0:
				p.dead = true
			case 1:
				p.frozenUntil = w.now + time.Duration(w.rand.IntN(6000))*time.Millisecond
			case 2:
				p.cut = !p.cut
			case 3, 4:
				p.dead = true
				w.at(nil, time.Duration(w.rand.IntN(500))*time.Millisecond, p.start)
			case 5, 6:
				p.noStore = true
			}
			w.storeDown, w.storeLoses = w.rand.IntN(10) == 0, w.rand.IntN(10) == 0
			for _, p := range w.procs {
				if p.dead && w.rand.IntN(5) == 0 {
					p.start()
				}
				p.cut, p.noStore = p.cut && w.rand.IntN(4) > 0, p.noStore && w.rand.IntN(4) > 0
			}
		}
		for i, tenant := range testTenants(8) {
			if worst, limit := w.worst(tenant.Name, DefaultWindow), limitOf(tenant); worst > limit {
				t.Errorf("seed %d, %s: %.0f in a window, limit %.0f", seed, tenant.Name, worst, limit)
			}
			late := &world{used: map[string][]use{}}
			for _, u := range w.used[tenant.Name] {
				if u.at > 40*time.Second+DefaultWindow {
					late.used[tenant.Name] = append(late.used[tenant.Name], u)
				}
			}
			if worst, limit := late.worst(tenant.Name, DefaultWindow), limitOf(tenants[i]); worst > limit {
				t.Errorf("seed %d, %s: %.0f in a window after the limit was lowered to %.0f", seed, tenant.Name, worst, limit)
			}
			if seed == 0 && len(w.used[tenant.Name]) == 0 {
				t.Errorf("%s: nothing ran", tenant.Name)
			}
		}
	}
}

// Guards against requests below the limit that are refused or delayed: tokens that are spread over the routers, or a
// holder that is far away.
func TestBelowLimitIsServed(t *testing.T) {
	for _, c := range []struct {
		name      string
		oneRouter bool
		loss      float64
	}{{"many routers", false, 0}, {"one router", true, 0}, {"lossy", false, 0.02}} {
		w := newWorld(1, 31, 20)
		w.loss = c.loss
		w.run(4 * time.Second)
		tr := newTraffic(w, testTenants(16), 0.6)
		tr.oneRouter, tr.from = c.oneRouter, 8*time.Second
		w.run(60 * time.Second)
		t.Logf("%s: %d requests, %d refused, %d slow; below the limit %d, of these %d refused or slow; %d messages, %d reads, %d writes in 60 s", c.name,
			sum(tr.sent), sum(tr.refused), sum(tr.slow), tr.belowSent, tr.belowBad, w.messages, w.reads, w.writes)
		if tr.belowBad > tr.belowSent*2/100 {
			t.Errorf("%s: %d of %d requests below the limit refused or delayed", c.name, tr.belowBad, tr.belowSent)
		}
	}
}

// Guards against a tenant far beyond its limit that gets only its short or its unimportant requests served, or less than
// its limit.
func TestOverLimitOrder(t *testing.T) {
	w := newWorld(1, 21, 20)
	tenants := testTenants(2)
	w.run(4 * time.Second)
	tr := newTraffic(w, tenants, 3)
	tr.from = 12 * time.Second
	w.run(72 * time.Second)
	for i := range tenants {
		total := 0.0
		for _, u := range w.used[tenants[i].Name] {
			if u.at > 12*time.Second {
				total += u.amount
			}
		}
		served := total / 60 / tenants[i].Rate
		all, long := float64(tr.ran[i])/float64(tr.sent[i]), float64(tr.longRan[i])/float64(tr.longSent[i])
		urgent := float64(tr.urgentRan[i]) / float64(tr.urgentSent[i])
		t.Logf("%s: %.2f of the rate, served: all %.2f, long %.2f, urgent %.2f", tenants[i].Name, served, all, long, urgent)
		if served < 0.85 || long < 0.7*all || urgent < all {
			t.Errorf("%s: %.2f of the rate, served: all %.2f, long %.2f, urgent %.2f", tenants[i].Name, served, all, long, urgent)
		}
	}
}

// Guards against a long time without a holder: requests of the shard wait until the lease has ended and been taken over.
func TestTakeOverIsShort(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   func(w *world, p *proc)
		longest time.Duration
	}{
		{"killed", func(_ *world, p *proc) { p.dead = true }, 3500 * time.Millisecond},
		{"frozen", func(w *world, p *proc) { p.frozenUntil = w.now + 20*time.Second }, 3500 * time.Millisecond},
		{"restarted", func(w *world, p *proc) { p.dead = true; w.at(nil, 100*time.Millisecond, p.start) }, 700 * time.Millisecond},
		{"stopped", func(w *world, p *proc) {
			for shard, l := range p.leases {
				if wr, ok := l.Release(p.clock()); ok {
					p.write(shard, l, wr)
				}
			}
		}, 1800 * time.Millisecond},
	} {
		w := newWorld(3, 21, 20)
		tenants := testTenants(16)
		w.run(4 * time.Second)
		tr := newTraffic(w, tenants, 0.5)
		tr.patience, tr.from = 8*time.Second, 12*time.Second
		w.run(12 * time.Second)
		holder := w.objects[0].Spec.Node
		for _, p := range w.sidecars {
			if p.name == holder {
				c.fault(w, p)
			}
		}
		gap := time.Duration(0)
		w.run(30 * time.Second)
		uses := []time.Duration{12 * time.Second}
		for _, tenant := range tenants {
			for _, u := range w.used[tenant.Name] {
				if ShardOf(tenant.Name) == 0 && u.at > 12*time.Second {
					uses = append(uses, u.at)
				}
			}
		}
		slices.Sort(uses)
		for i := range uses[1:] {
			gap = max(gap, uses[i+1]-uses[i])
		}
		t.Logf("%s: longest time without a request of the shard %s; %d refused of %d", c.name, gap, sum(tr.refused), sum(tr.sent))
		if gap > c.longest {
			t.Errorf("%s: longest time without a request of the shard %s", c.name, gap)
		}
	}
}
