package upstreamlimit

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

const second = boottime.Instant(time.Second)

var first = Instance{ID: "u", StartedUnixMS: 1000}

// Guards against a header that stops an upstream or lifts its limit because it is not understood.
func TestLowest(t *testing.T) {
	for _, c := range []struct {
		values []float64
		n      float64
		ok     bool
	}{
		{[]float64{1.1}, 1.1, true}, {[]float64{0}, 0, true}, {[]float64{0.2, 7}, 0.2, true}, {[]float64{1e300}, MaxRate, true},
		{[]float64{math.NaN()}, 0, false}, {[]float64{-1}, 0, false}, {[]float64{math.Inf(1)}, 0, false}, {nil, 0, false},
		{[]float64{math.NaN(), 3, -2}, 3, true}, {[]float64{math.Copysign(0, -1)}, 0, true},
	} {
		if n, ok := Lowest(c.values...); ok != c.ok || ok && n != c.n {
			t.Errorf("%v: got %v, %v", c.values, n, ok)
		}
	}
}

// talk lets a router report a fact to the holder, with the echo of the holder's latest message.
type talk struct {
	h     *Holder
	seq   uint64
	stamp int64
	at    boottime.Instant
	known bool
}

// tell sends a fact about an attempt that was sent and answered so long ago, and returns the limit in force.
func (c *talk) tell(now boottime.Instant, i Instance, f Fact, sent, received time.Duration) float64 {
	c.seq++
	f.SentMS, f.ReceivedMS = sent.Milliseconds(), received.Milliseconds()
	r := &Request{Router: "r", Process: 1, Instance: i, Seq: c.seq, Fact: f}
	if c.known {
		r.Holder, r.EchoMS, r.EchoAgeMS = c.h.process, c.stamp, now.Sub(c.at).Milliseconds()
	}
	g := c.h.Handle(now, r, true)[0].Grant
	c.stamp, c.at, c.known = g.StampMS, now, true
	return g.N
}

// Guards against answers that are older than others and undo them, and against a late message that does.
func TestOrderOfFacts(t *testing.T) {
	named := func(n float64) Fact { return Fact{Kind: Named, N: n} }
	absent := Fact{Kind: Absent}
	type step struct {
		at             time.Duration
		fact           Fact
		sent, received time.Duration // ages
		want           float64
	}
	for name, steps := range map[string][]step{
		"named":                    {{0, named(3), 20, 10, 3}},
		"zero is probed":           {{0, named(0), 20, 10, ProbeRate}},
		"enormous":                 {{0, named(1e300), 20, 10, MaxRate}},
		"not a number":             {{0, named(3), 20, 10, 3}, {1000, named(math.NaN()), 20, 10, 3}, {1001, named(-1), 20, 10, 3}},
		"nothing known":            {{0, absent, 20, 10, 0}},
		"lower at once":            {{0, named(3), 20, 10, 3}, {100, named(1), 300, 10, 1}},
		"higher, sent before":      {{0, named(3), 20, 10, 3}, {100, named(1), 20, 10, 1}, {110, named(3), 30, 5, 1}},
		"higher, sent after":       {{0, named(3), 20, 10, 3}, {100, named(1), 20, 10, 1}, {200, named(3), 30, 5, 3}},
		"lower, but older":         {{0, named(1), 20, 10, 1}, {100, named(3), 30, 5, 3}, {200, named(1), 210, 205, 3}},
		"absent, sent before":      {{0, named(3), 20, 10, 3}, {100, absent, 150, 5, 3}},
		"absent, sent after":       {{0, named(3), 20, 10, 3}, {1100, absent, 1000, 5, 3}, {5100, absent, 4000, 5, 3 * 16}},
		"named, older than absent": {{0, named(3), 20, 10, 3}, {1000, absent, 500, 5, 3}, {2000, named(3), 1900, 1800, 6}},
		"named again":              {{0, named(3), 20, 10, 3}, {1000, absent, 500, 5, 3}, {2000, named(3), 20, 10, 3}},
		"ended":                    {{0, named(3), 20, 10, 3}, {1000, absent, 500, 5, 3}, {9000, absent, 500, 5, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			c := &talk{h: NewHolder(10*second, 7)}
			for i, s := range steps {
				now := 20*second + boottime.Instant(s.at*time.Millisecond)
				got := c.tell(now, first, s.fact, s.sent*time.Millisecond, s.received*time.Millisecond)
				want := s.want
				if name == "absent, sent after" && i == 2 { // the limit has been ending for four seconds
					want = 3 * 16
				}
				if math.Abs(got-want) > 0.01*want {
					t.Fatalf("step %d: limit %v, want %v", i, got, want)
				}
			}
		})
	}
}

// Guards against a message that was on its way for seconds and ends a limit that the upstream has named meanwhile.
func TestLateEnd(t *testing.T) {
	c := &talk{h: NewHolder(10*second, 7)}
	c.tell(20*second, first, Fact{Kind: Named, N: 3}, time.Second, time.Second)
	late := &Request{Router: "s", Process: 2, Instance: first, Seq: 1, Fact: Fact{Kind: Absent, SentMS: 20, ReceivedMS: 1},
		Holder: 7, EchoMS: 8500, EchoAgeMS: 100} // sent at 18.6 s, arrives at 21 s
	if g := c.h.Handle(21*second, late, true)[0].Grant; g.N != 3 {
		t.Errorf("a late message ended the limit: %v", g.N)
	}
	late.Seq, late.Holder = 2, 6
	if g := c.h.Handle(21*second, late, true)[0].Grant; g.N != 3 {
		t.Errorf("a message without the holder's stamp ended the limit: %v", g.N)
	}
}

// Guards against a limit that passes to another process at the address, and against a late answer of an earlier process.
func TestInstances(t *testing.T) {
	second_, c := Instance{ID: "u", StartedUnixMS: 2000}, &talk{h: NewHolder(10*second, 7)}
	c.tell(20*second, first, Fact{Kind: Named, N: 3}, 20*time.Millisecond, time.Millisecond)
	if n := c.tell(21*second, second_, Fact{}, 0, 0); n != 0 {
		t.Errorf("the new process has the limit %v of the old one", n)
	}
	if n := c.tell(22*second, first, Fact{Kind: Named, N: 3}, 3*time.Second, 2*time.Second); n != 0 {
		t.Errorf("an old answer of the old process limits the new one to %v", n)
	}
	if n := c.tell(23*second, second_, Fact{Kind: Named, N: 5}, 20*time.Millisecond, time.Millisecond); n != 5 {
		t.Errorf("limit %v, want 5", n)
	}
	if n := c.tell(24*second, first, Fact{Kind: Absent}, time.Millisecond, 0); n != 5 {
		t.Errorf("the old process ended the limit of the new one")
	}
	c.h.SetInstance(25*second, Instance{ID: "u", StartedUnixMS: 1500}) // its clock was set back
	if n := c.tell(25*second, second_, Fact{}, 0, 0); n != 0 {
		t.Errorf("the process that the sidecar names has the limit %v of another", n)
	}

	b := NewBalance("r", 1)
	b.Observe(20*second, first, Named, 3, 19*second)
	if _, ok := b.Limit(21*second, second_); ok || !b.Take(21*second, second_).Free {
		t.Error("the new process has the limit of the old one")
	}
	b.Observe(22*second, second_, Named, 4, 21*second)
	b.Observe(23*second, first, Absent, 0, 22*second)
	b.Announced(23*second, Announcement{Instance: first, N: 1})
	if l, _ := b.Limit(23*second, second_); l.N != 4 {
		t.Errorf("limit %v, want 4", l.N)
	}
}

// Guards against an end of the limit, after a restart of the holder, for a router that knows it from the holder only.
func TestHeard(t *testing.T) {
	h := NewHolder(10*second, 8)
	ask := func(now boottime.Instant, router string, heard float64) float64 {
		return h.Handle(now, &Request{Router: router, Process: 1, Instance: first, Seq: uint64(now), Heard: heard}, true)[0].Grant.N
	}
	if n := ask(11*second, "a", 2); n != 2 {
		t.Errorf("limit %v, want 2", n)
	}
	c := &talk{h: h}
	c.tell(12*second, first, Fact{Kind: Absent}, time.Second, 0)
	c.tell(13*second, first, Fact{Kind: Absent}, 500*time.Millisecond, 0)
	if n := ask(22*second, "a", 2); n != 0 {
		t.Errorf("hearsay restored the limit: %v", n)
	}
	if h.hooks.noHeard = true; h.Handle(11*second, &Request{Router: "a", Process: 1, Instance: Instance{ID: "v"}, Seq: 1, Heard: 2}, true)[0].Grant.N != 0 {
		t.Error("the limit is known without the mechanism")
	}
}

// Guards against a request that counts twice because its answer was lost, and against forged amounts.
func TestHolderBounds(t *testing.T) {
	h := NewHolder(10*second, 7)
	ask := func(now boottime.Instant, r Request) []Outgoing {
		r.Router, r.Process, r.Instance, r.Fact = "r", 1, first, Fact{Kind: Named, N: 10}
		return h.Handle(now, &r, true)
	}
	ask(20*second, Request{Seq: 1})
	one := ask(21*second, Request{Seq: 2, Want: []int{1}})
	again := ask(21*second, Request{Seq: 2, Want: []int{1}})
	if !reflect.DeepEqual(one[0].Grant.Tokens, []Count{{2, 1}}) || !reflect.DeepEqual(one[0].Grant.Tokens, again[0].Grant.Tokens) {
		t.Fatalf("got %+v, then %+v", one[0].Grant, again[0].Grant)
	}
	u := h.upstreams["u"]
	ask(21*second, Request{Seq: 1, Want: []int{5}})
	if u.granted != 1 || u.routers["r"].wants() != 0 || u.routers["r"].latest != 2 {
		t.Errorf("an old request counted: %+v", u.routers["r"])
	}
	level := u.level
	ask(21*second, Request{Seq: 3, Returned: []Count{{2, 100}, {2, 100}, {9, 5}, {2, -7}}})
	if u.level != level+1 {
		t.Errorf("level %v after the return of one token at %v", u.level, level)
	}
	ask(21*second, Request{Seq: 4, Spent: 1 << 30})
	if u.level < -11 {
		t.Errorf("debt %v", u.level)
	}
	ask(21*second, Request{Seq: 5, Spent: -5, Refused: 1 << 30, Want: []int{1 << 40, -1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 3}})
	if got := u.routers["r"].wants(); got > 2*maxWant || got < 0 {
		t.Errorf("%d requests wait", got)
	}
	if u.backlogEnd.Sub(21*second) > maxBacklog {
		t.Errorf("callers are told to come back after %s", u.backlogEnd.Sub(21*second))
	}
	for i := range 3 * maxRouters {
		h.Handle(22*second, &Request{Router: fmt.Sprint(i), Instance: first, Seq: 1}, true)
		h.Handle(22*second, &Request{Router: "r", Instance: Instance{ID: fmt.Sprint(i)}, Seq: 1}, true)
	}
	if len(u.routers) > maxRouters || len(h.upstreams) > maxUpstreams {
		t.Errorf("%d routers and %d upstreams", len(u.routers), len(h.upstreams))
	}
}

// Guards against a second burst of a holder that comes to hold an upstream again.
func TestForget(t *testing.T) {
	h := NewHolder(10*second, 7)
	r := &Request{Router: "r", Process: 1, Instance: first, Seq: 1, Fact: Fact{Kind: Named, N: 100}}
	h.Handle(20*second, r, false)
	h.Due(30 * second)
	h.Due(40 * second)
	full := h.Usages(40 * second)[0].Level
	h.Forget("u")
	h.Handle(41*second, r, false)
	if us := h.Usages(41 * second); full != 26 || us[0].Level != 0 || us[0].Rate != 25 {
		t.Errorf("level %v, then %+v", full, us)
	}
}
