package upstreamlimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

// limited returns a balance that has learned the limit n of the upstream at 20 s.
func limited(n float64, routers int) *Balance {
	b := NewBalance("r", 1)
	b.SetRouters(20*second, routers)
	b.Observe(20*second, first, Named, n, 19*second)
	return b
}

func after(d time.Duration) boottime.Instant { return (30 * second).Add(d) }

// Guards against a token that is used after its end, as by a router that was frozen, and one that is used twice.
func TestTokenEnds(t *testing.T) {
	b := limited(10, 4)
	b.Messages(21 * second)
	id := b.Wait(30*second, first, 0)
	m := b.Messages(30 * second)
	if len(m) != 1 || len(m[0].Want) != 1 {
		t.Fatalf("got %+v", m)
	}
	g := &Grant{Process: 1, Instance: first, Holder: 7, Seq: m[0].Seq, N: 10, Tokens: []Count{{m[0].Seq, 100}}}
	other := *g
	other.Process = 2
	if b.Apply(after(10*time.Millisecond), &other) {
		t.Fatal("accepted the grant of another process")
	}
	if !b.Apply(after(10*time.Millisecond), g) || !b.Apply(after(20*time.Millisecond), g) {
		t.Fatal("did not accept the grant")
	}
	results := b.Results(after(20 * time.Millisecond))
	if len(results) != 1 || results[0].ID != id {
		t.Fatalf("got %+v", results)
	}
	token := results[0].Token
	if !token.Valid(after(Validity-1)) || token.Valid(after(Validity)) {
		t.Errorf("the token is valid until %v", token.Until.Sub(30*second))
	}
	if b.Take(after(30*time.Millisecond), first) != nil {
		t.Error("more tokens than were asked for")
	}
	b.Refund(after(40*time.Millisecond), token)
	if token.Valid(after(40*time.Millisecond)) || b.Take(after(Validity), first) != nil {
		t.Error("the token is valid after its return or its end")
	}
}

// Guards against a token that was granted for a request of an earlier holder, long ago.
func TestLateGrant(t *testing.T) {
	b := limited(10, 4)
	b.Messages(21 * second)
	b.Wait(30*second, first, 0)
	m := b.Messages(30 * second)[0]
	g := &Grant{Process: 1, Instance: first, Holder: 7, Seq: m.Seq, N: 10, Tokens: []Count{{m.Seq, 1}}}
	b.Apply(after(490*time.Millisecond), g)
	if len(b.Results(after(490*time.Millisecond))) != 0 {
		t.Error("used a token that leaves less than 20 ms")
	}
	b.Messages(after(600 * time.Millisecond))
	if b.Apply(after(600*time.Millisecond), g) {
		t.Error("accepted a grant after the validity of its tokens")
	}
}

// Guards against more or fewer messages than the design says.
func TestMessages(t *testing.T) {
	b := limited(10, 4)
	report := b.Messages(20 * second)
	if len(report) != 1 || report[0].Fact.N != 10 || len(report[0].Want) != 0 {
		t.Fatalf("the naming is not reported at once: %+v", report)
	}
	b.Apply(20*second+1, &Grant{Process: 1, Instance: first, Holder: 7, Seq: report[0].Seq, N: 10, StampMS: 5})
	var seqs []uint64
	b.Wait(30*second, first, 2)
	for ms := range 400 {
		for _, m := range b.Messages(after(time.Duration(ms) * time.Millisecond)) {
			seqs = append(seqs, uint64(ms)*1000+m.Seq)
		}
	}
	if want := "[2 60002 120002 180002 240002 250003 310003 370003]"; fmt.Sprint(seqs) != want {
		t.Errorf("messages %v", seqs)
	}
}

// Guards against a limit that the holder's late or uninformed message ends.
func TestEndByHolder(t *testing.T) {
	b := limited(10, 4)
	m := b.Messages(20 * second)[0]
	b.Observe(20*second+2, first, Named, 9, 20*second)
	b.Apply(20*second+3, &Grant{Process: 1, Instance: first, Holder: 7, Seq: m.Seq})
	if _, ok := b.Limit(20*second+3, first); !ok {
		t.Error("ended by a holder that does not know the latest naming")
	}
	m = b.Messages(21 * second)[0]
	b.Apply(21*second, &Grant{Process: 1, Instance: Instance{ID: "u", StartedUnixMS: 1}, Holder: 7, Seq: m.Seq})
	if _, ok := b.Limit(21*second, first); !ok {
		t.Error("ended by a holder that knows an earlier process only")
	}
	b.Apply(21*second, &Grant{Process: 1, Instance: first, Holder: 7, Seq: m.Seq})
	if _, ok := b.Limit(21*second, first); ok {
		t.Error("not ended")
	}
	b.Announced(22*second, Announcement{Instance: first, N: 3})
	if l, _ := b.Limit(22*second, first); l.N != 3 {
		t.Errorf("limit %v, want 3", l.N)
	}
	b.Announced(23*second, Announcement{Instance: first, N: 30})
	if l, _ := b.Limit(23*second, first); l.N != 3 {
		t.Errorf("a report raised the limit to %v", l.N)
	}
	b.Announced(23*second, Announcement{Instance: first, N: -1})
	if l, _ := b.Limit(23*second+23*second, first); l.N != 3 {
		t.Errorf("limit %v", l.N)
	}
	if _, ok := b.Limit(boottime.Instant(2*time.Hour), first); ok {
		t.Error("a limit that nobody names lasts for ever")
	}
}

// Guards against routers that together send more than half of the limit while no holder answers, and against a burst of
// routers that were idle.
func TestSlots(t *testing.T) {
	for _, c := range []struct {
		routers int
		n       float64
		known   bool
	}{{4, 0.2, true}, {4, 10, true}, {27, 1.1, true}, {390, 0.2, true}, {390, 10, true}, {390, 200, true}, {4, 200, true}, {390, 200, false}, {4, 10, false}, {27, 0, true}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			var all []*Balance
			for i := range c.routers {
				b := NewBalance(fmt.Sprint(i), uint64(i)*7919+1)
				if c.known {
					b.SetRouters(20*second, c.routers)
				}
				b.Observe(20*second, first, Named, c.n, 19*second)
				b.Wait(20*second, first, 0)
				all = append(all, b)
			}
			var sent []boottime.Instant
			worst, step := 0, 10*time.Millisecond
			if c.routers > 100 {
				step *= 5 // a slot is open for 500 ms
			}
			for now := 20 * second; now < 42*second; now = now.Add(step) {
				for _, b := range all {
					b.Messages(now)
					for range b.Results(now) {
						sent = append(sent, now)
						b.Wait(now, first, 0)
					}
				}
				for len(sent) > 0 && now.Sub(sent[0]) >= Window {
					sent = sent[1:]
				}
				if now < 21*second && len(sent) > 0 {
					t.Fatal("a slot is used while the holder may still answer")
				}
				worst = max(worst, len(sent))
			}
			if allowed := 1.5*c.n*4 + 5; float64(worst) > allowed*0.8 {
				t.Errorf("%d in a window, %.0f are allowed", worst, allowed)
			}
			t.Log(worst, "in a window")
		})
	}
}

// Guards against routers that all use a slot which nobody used for long.
func TestIdleSlots(t *testing.T) {
	sent := 0
	for i := range 390 {
		b := NewBalance(fmt.Sprint(i), uint64(i)*7919+1)
		b.SetRouters(20*second, 390)
		b.Observe(20*second, first, Named, 10, 19*second)
		b.Messages(20 * second)
		b.SetRouters(80*second, 390)
		if b.Take(80*second, first) != nil {
			sent++
		}
	}
	if sent > 15 {
		t.Errorf("%d of 390 routers send at the same moment", sent)
	}
}

// Guards against a silent holder that is never asked again.
func TestHolderComesBack(t *testing.T) {
	b := limited(10, 4)
	b.Wait(21*second, first, 0)
	b.Messages(21 * second)
	if l, _ := b.Limit(22*second, first); !l.Silent {
		t.Fatal("not silent")
	}
	m := b.Messages(23 * second)
	if len(m) != 1 {
		t.Fatalf("%d messages", len(m))
	}
	b.Apply(23*second, &Grant{Process: 1, Instance: first, Holder: 7, Seq: m[0].Seq, N: 10})
	if l, _ := b.Limit(23*second, first); l.Silent {
		t.Error("still silent")
	}
}

// Guards against refused callers that come back together.
func TestRetryIn(t *testing.T) {
	b := limited(2, 4)
	m := b.Messages(20 * second)[0]
	b.Apply(20*second, &Grant{Process: 1, Instance: first, Holder: 7, Seq: m.Seq, N: 2, RetryMS: 1500})
	var last time.Duration
	for i := range 5 {
		d := b.RetryIn(20*second, first, 1)
		if want := 1500*time.Millisecond + min(time.Duration(i+1)*500*time.Millisecond, maxBacklog); d != want {
			t.Errorf("caller %d: %s, want %s", i, d, want)
		}
		last = max(last, d)
	}
	if d := b.RetryIn(20*second, Instance{ID: "other"}, 1); d != 0 {
		t.Errorf("%s without a limit", d)
	}
	if b.Wait(21*second, first, 0); b.Messages(21 * second)[0].Refused != 5 {
		t.Error("refused callers are not reported")
	}
}
