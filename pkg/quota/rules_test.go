package quota

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

const second = boottime.Instant(time.Second)

// oneNeed returns a request of one need for a tenant of shard 0 with the limit 900 per window of 8 s.
func oneNeed(number uint64, config uint64, rate, amount float64) *Request {
	return &Request{Router: "r", Process: 1, Shard: ShardOf("t"), Number: number, Tenants: []TenantRequest{{Tenant: "t", Rate: rate, Burst: rate, Config: config,
		Needs: []Need{{ID: number, Amount: amount}}}}}
}

func granted(g *Grant) bool { return g != nil && g.Tenants[0].Needs[0].Granted }

func testHolder(start State) *Holder { return NewHolder(second, ShardOf("t"), 7, 0, start) }

// Guards against tokens that are granted twice for a request that is repeated because its answer was lost.
func TestRepeatedRequest(t *testing.T) {
	h := testHolder(State{})
	first := h.Handle(second, oneNeed(1, 1, 100, 50))
	if again := h.Handle(2*second, oneNeed(1, 1, 100, 50)); !granted(first) || !reflect.DeepEqual(first, again) {
		t.Fatalf("got %+v, then %+v", first, again)
	}
	if sum := h.tenants["t"].granted.sum; sum != 50 {
		t.Fatalf("granted %.0f", sum)
	}
	h.Handle(2*second, oneNeed(500, 1, 100, 1))
	h.Handle(5*second, oneNeed(501, 1, 100, 1))
	if late := h.Handle(5*second, oneNeed(1, 1, 100, 50)); late != nil {
		t.Fatalf("a request whose answer has been forgotten got %+v", late)
	}
}

// Guards against a return that is counted twice or beyond what was granted.
func TestReturn(t *testing.T) {
	h := testHolder(State{})
	h.Handle(second, oneNeed(1, 1, 100, 150))
	r := oneNeed(2, 1, 100, 10)
	r.Tenants[0].Returned = []Return{{Number: 1, Amount: 100}, {Number: 1, Amount: 100}, {Number: 9, Amount: 100}}
	h.Handle(second+1, r)
	h.Handle(second+2, r)
	if sum := h.tenants["t"].granted.sum; sum != 10 {
		t.Fatalf("%.0f count as granted, want 10", sum)
	}
}

// Guards against a router with an old configuration that raises a limit again.
func TestLimitOfHighestVersion(t *testing.T) {
	h := testHolder(State{})
	h.Handle(second, oneNeed(1, 5, 10, 1))
	h.Handle(second, oneNeed(2, 4, 100, 1))
	if got := h.tenants["t"].limit.Rate; got != 10 {
		t.Fatalf("rate %.0f, want 10", got)
	}
}

// Guards against grants of two holders in a row that both ended before they had listed the tenant in the store.
func TestUnlistedTenant(t *testing.T) {
	third := testHolder(State{}.inherit(0, 0).inherit(time.Second, 0))
	third.Handle(second, oneNeed(1, 1, 100, 1))
	if got, most := third.tenants["t"].granted.sum, 2*capShare*900+1; got != most {
		t.Fatalf("%.0f count as granted, want %.0f", got, most)
	}
	if s, _ := third.Snapshot(2*second, false); len(s.Unlisted) != 2 || len(s.Tenants["t"].Granted) != 2 {
		t.Fatalf("snapshot %+v", s)
	}
}

// Guards against a right that is used after its end, as by a process that has been frozen.
func TestHoldEnds(t *testing.T) {
	b, holder := NewBalance("r", 1), netip.MustParseAddrPort("127.0.0.1:1")
	tenant := Tenant{Name: "t", Rate: 100, Burst: 100, Small: 1, Config: 1}
	b.SetHolder(second, ShardOf("t"), 7, holder)
	id := b.Wait(second, tenant, 50, 0, time.Second)
	out := b.Messages(second)
	g := testHolder(State{}).Handle(second, out[0].Request)
	if len(b.Apply(second+1, netip.MustParseAddrPort("127.0.0.1:2"), g)) != 0 {
		t.Fatal("accepted the grant of another process")
	}
	results := b.Apply(second+1, holder, g)
	if len(results) != 1 || results[0].ID != id || !results[0].Hold.Valid(second+1) {
		t.Fatalf("got %+v", results)
	}
	if hold := results[0].Hold; hold.Valid(second.Add(Validity)) {
		t.Fatal("still valid after Validity since the request for the tokens")
	}
	b.Refund(second+2, results[0].Hold)
	if b.Take(second.Add(Validity), tenant, 1) != nil || b.Stats().Expired["t"] != 50 {
		t.Fatalf("expired tokens were given to a request; %+v", b.Stats())
	}
}

// Guards against a lease that is lost with one answer of the store, and against one that outlives another's write.
func TestLeaseWithLostAnswers(t *testing.T) {
	l := NewLease(0, "a", 1, 0)
	l.Read(second, Stored{})
	acquire, _ := l.Write(second, 0)
	l.Written(second+1, acquire, 10)
	renew, ok := l.Write(2*second, 0)
	if !ok {
		t.Fatal("no renewal")
	}
	l.Failed(2*second + 1)
	again, _ := l.Write(2*second+second/2, 0)
	l.Conflicted(2*second+second/2, again, Stored{Revision: 11, Spec: renew.Spec}) // the first one was stored
	if l.Holder(4*second-1) == nil || l.Holder(4*second) != nil {
		t.Fatalf("lease until %s, want 4s", time.Duration(l.until))
	}
	third, _ := l.Write(3*second, 0)
	if third.Expect != 11 {
		t.Fatalf("expects revision %d", third.Expect)
	}
	l.Conflicted(3*second, third, Stored{Revision: 12, Spec: LeaseSpec{Node: "b"}})
	if l.Holder(3*second) != nil {
		t.Fatal("holds the lease after another's write")
	}
	l.Read(5*second, Stored{Revision: 12})
	if _, ok := l.Write(5*second, 0); ok {
		t.Fatal("writes before the other's lease can have ended")
	}
	if _, ok := l.Write((5 * second).Add(50*time.Millisecond), 0); !ok {
		t.Fatal("does not take over")
	}
}

// Guards against a write of the lease every 100 ms for a request that exceeds the whole limit, and against as many calls
// to a store that is down.
func TestFewWrites(t *testing.T) {
	h := testHolder(State{})
	h.Handle(second, oneNeed(1, 1, 100, 1e9))
	if h.NeedsWrite() {
		t.Error("writes early for a request that can never be granted")
	}
	l, writes := NewLease(0, "a", 1, 0), 0
	l.Read(second, Stored{Revision: 5, Spec: LeaseSpec{Node: "a"}})
	for now := second; now < 61*second; now = now.Add(50 * time.Millisecond) {
		if _, ok := l.Write(now, 0); ok {
			writes++
			l.Failed(now)
		}
	}
	if writes > 60 {
		t.Errorf("%d writes in a minute while the store is down", writes)
	}
}

// Guards against a tenant whose limit is lowered below its use and which is then served for half of each window and
// refused for the rest of it.
func TestEvenUseOfLoweredLimit(t *testing.T) {
	h, number := testHolder(State{}), uint64(0)
	perSecond := map[int]float64{}
	for now := second; now < 50*second; now = now.Add(20 * time.Millisecond) {
		number++
		rate, config, amount := 2000.0, uint64(1), 30.0
		if now >= 10*second {
			rate, config = 1000, 2
		}
		if number%50 == 0 {
			amount = 400
		}
		if g := h.Handle(now, oneNeed(number, config, rate, amount)); granted(g) {
			perSecond[int(now/second)] += amount
		}
		_, mark := h.Snapshot(now, false)
		h.Confirm(mark)
	}
	for s := 30; s < 48; s++ {
		if three := perSecond[s] + perSecond[s+1] + perSecond[s+2]; three < 1500 {
			t.Errorf("%.0f granted in three seconds from second %d at a rate of 1000", three, s)
		}
	}
}

// Guards against a tenant that comes to three times its limit and uses up its window with the first requests: those who
// came seconds later were all refused. The validity of grants counts 0.55 s of the rate twice, which leaves 0.45 of it in
// the second in which a window ends.
func TestEvenUse(t *testing.T) {
	h, number := testHolder(State{}), uint64(0)
	perSecond := map[int]float64{}
	for now := second; now < 40*second; now = now.Add(10 * time.Millisecond) {
		amount := 5.0
		if now >= 20*second {
			amount = 30
		}
		number++
		if g := h.Handle(now, oneNeed(number, 1, 1000, amount)); granted(g) {
			perSecond[int(now/second)] += amount
		}
		_, mark := h.Snapshot(now, false)
		h.Confirm(mark)
	}
	for s := 22; s < 40; s++ {
		if perSecond[s] < 400 || perSecond[s] > 1400 {
			t.Errorf("%.0f granted in second %d at a rate of 1000", perSecond[s], s)
		}
	}
}

// Guards against a restarted holder that does not rank among the candidates and does not take its lease back: nobody
// granted tokens until the lease had ended.
func TestFirstRead(t *testing.T) {
	l := NewLease(0, "a", 2, 0)
	if !l.NeedsFirstRead(second) {
		t.Fatal("does not read at the start")
	}
	l.Read(second, Stored{Revision: 5, Spec: LeaseSpec{Node: "a"}})
	if _, ok := l.Write(second, Candidates+Reserves+1); !ok || l.NeedsFirstRead(second) {
		t.Fatal("does not take back the lease of an earlier process on its VM")
	}
}
