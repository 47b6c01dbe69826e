package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/prompt"
)

// BenchmarkDecide measures a decision among 56 upstreams that all serve the model, with a prompt of two shared parts and
// one of its own, while other requests are outstanding.
func BenchmarkDecide(b *testing.B) { benchmarkDecide(b, time.Millisecond, 100) }

// BenchmarkDecideAfterInterval measures the same decision when the figures of all upstreams are derived again, as happens
// every 250 ms.
func BenchmarkDecideAfterInterval(b *testing.B) { benchmarkDecide(b, 250*time.Millisecond, 1<<30) }

func benchmarkDecide(b *testing.B, step time.Duration, steps int) {
	s := newState()
	for i := range 56 {
		id := fmt.Sprintf("u%02d", i)
		add(s, upstream{id: id, models: []string{"a"}, running: i % 20})
		reportSpeed(s, id, upstream{running: i % 20}, float32(i%3)/3, float32(i%4)/4)
	}
	requests := make([]*dispatch.Request, 64)
	for i := range requests {
		shared := fmt.Sprint(i % 8)
		parts := []prompt.Part{{ID: "s" + shared, Tokens: 2500}, {ID: "t" + shared, Tokens: 3800}, {ID: fmt.Sprint("own", i), Tokens: 2890}}
		route := reportRoute
		route.Target, route.MaxEventGap = 5*time.Second, 500*time.Millisecond
		requests[i] = &dispatch.Request{
			ID: "r", Route: &route, Service: "llm", Model: "a", Parts: parts, Chain: prompt.Chain("a", "", parts), TokensOut: 100,
			Deadline: now.Add(1e6 * time.Second), EventTarget: now.Add(route.Target),
		}
		if d := s.Decide(now, requests[i]); d.Action == dispatch.Send && i < 32 {
			s.RecordStart(d.Upstream.ID, requests[i])
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		s.Decide(now.Add(time.Duration(i%steps)*step), requests[i%len(requests)])
	}
}
