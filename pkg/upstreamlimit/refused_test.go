package upstreamlimit

import (
	"testing"
	"time"
)

// Guards against requests that are refused because of callers that were told to come back, among them their own: 7 of 20
// requests were served. The wait to come back still counts those callers.
func TestRefusedDoNotWaitForThemselves(t *testing.T) {
	h := NewHolder(0, 7)
	h.SetInstance(0, first)
	ask := func(r Request) *Grant {
		r.Router, r.Process, r.Instance = "edge", 1, first
		return h.Handle(20*second, &r, true)[0].Grant
	}
	g := ask(Request{Seq: 1, Fact: Fact{Kind: Named, N: 2}, Want: []int{2}, Refused: 4})
	if g.WaitMS != 1500 {
		t.Errorf("a third request waits %d ms, want 1500", g.WaitMS)
	}
	if g.RetryMS < 2000 {
		t.Errorf("refused callers come back after %d ms, four others before them", g.RetryMS)
	}
	b := limited(2, 4)
	m := b.Messages(20 * second)[0]
	b.Apply(20*second, &Grant{Process: 1, Instance: first, Holder: 7, Seq: m.Seq, N: 2, RetryMS: 4000, WaitMS: 300})
	if l, _ := b.Limit(20*second, first); l.Wait != 300*time.Millisecond {
		t.Errorf("a request is expected to wait %s", l.Wait)
	}
	if d := b.RetryIn(20*second, first, 0); d != 4*time.Second {
		t.Errorf("a refused caller comes back after %s", d)
	}
}

// Guards against a router that refuses all requests because of a wait that has become shorter: it has none that waits, so
// that it did not ask again (9 of 20 requests served in one of three runs).
func TestRefusalsRefreshTheWait(t *testing.T) {
	b := limited(2, 4)
	quiet := 20*second + 400*second/1000
	for at := 20 * second; at < quiet; at += second / 10 { // until the naming is reported
		for _, m := range b.Messages(at) {
			b.Apply(at, &Grant{Process: 1, Instance: first, Holder: 7, Seq: m.Seq, N: 2, RetryMS: 8000, WaitMS: 8000})
		}
	}
	if out := b.Messages(quiet); len(out) != 0 {
		t.Fatalf("%d messages without a cause", len(out))
	}
	b.RetryIn(quiet, first, 0.5)
	if next := b.Next(quiet); next > quiet {
		t.Errorf("next message %s after a refusal", next.Sub(quiet))
	}
	out := b.Messages(quiet)
	if len(out) != 1 || out[0].Refused != 1 || len(out[0].Want) != 0 {
		t.Fatalf("messages after a refusal: %+v", out)
	}
	b.Apply(quiet, &Grant{Process: 1, Instance: first, Holder: 7, Seq: out[0].Seq, N: 2, RetryMS: 8000, WaitMS: 8000})
	b.RetryIn(quiet, first, 0.5)
	if out := b.Messages(quiet + giveUpAfterInstant/2); len(out) != 0 {
		t.Errorf("%d messages right after one", len(out))
	}
	if out := b.Messages(quiet + giveUpAfterInstant); len(out) != 1 {
		t.Errorf("%d messages after a further refusal", len(out))
	}
}

const giveUpAfterInstant = second / 4

// Guards against an upstream that is taken for one that stands still, because routers return tokens that they asked for
// ahead: nothing was sent, so no answer is to come.
func TestReturnedTokensNeedNoAnswer(t *testing.T) {
	h := NewHolder(0, 7)
	h.SetInstance(0, first)
	now, seq := 20*second, uint64(0)
	ask := func(r Request) *Grant {
		seq++
		r.Router, r.Process, r.Instance, r.Seq = "edge", 1, first, seq
		return h.Handle(now, &r, true)[0].Grant
	}
	ask(Request{Fact: Fact{Kind: Named, N: 1}})
	for range 10 {
		now += 2 * second
		if g := ask(Request{Want: []int{1}}); len(g.Tokens) != 1 {
			t.Fatalf("no token after 2 s at one a second: %+v", g)
		}
		now += second / 10
		ask(Request{Returned: []Count{{Seq: seq, Count: 1}}})
	}
	for range 2 { // the second one is not from the bucket
		now += 3 * second / 2
		if g := ask(Request{Want: []int{1}}); len(g.Tokens) != 1 {
			t.Fatalf("no token after 1.5 s at one a second: %+v", g)
		}
	}
}
