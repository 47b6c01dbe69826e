package upstreamlimit

import (
	"fmt"
	"math"
	"time"
)

// measure is what a run brought.
type measure struct {
	// worst is the largest number of requests in a window, as a part of what the rule allows, at worstAt; all counts the
	// requests of routers that have not passed on a naming too, and plan is the part of the limit itself and five requests.
	worst, all, plan float64
	worstAt          time.Duration
	// windows is the number of windows that were judged.
	windows int
	// part is the part of the limit that was served from the eighth second on, if it was named all the time.
	part float64
	// gap is the longest time that a living router sent nothing, although a request waited or came.
	gap                      time.Duration
	waits, refused, messages int
	hint, longestHint        time.Duration
	// oldest is the longest time from a request for tokens to a send with one of them.
	oldest time.Duration
	// urgent is the part of the most urgent requests that were sent.
	urgent float64
}

// allowed returns the integral of the limit from a to b. A change counts as from half a second later if it lowers the limit.
func (e *engine) allowed(a, b time.Duration) float64 {
	total := 0.0
	for k, h := range e.history {
		from, until := h.at, time.Duration(math.MaxInt64)
		if k+1 < len(e.history) {
			until = e.history[k+1].at
			if next := e.history[k+1].n; next >= 0 && (h.n < 0 || next < h.n) {
				until += 500 * time.Millisecond
			}
		}
		if k > 0 && h.n >= 0 && (e.history[k-1].n < 0 || h.n < e.history[k-1].n) {
			from += 500 * time.Millisecond
		}
		if d := min(b, until) - max(a, from); d > 0 {
			if h.n < 0 {
				return math.Inf(1)
			}
			total += d.Seconds() * h.n
		}
	}
	return total
}

// largest returns the largest part of what the rule allows that arrived in a window, when, and how many were judged.
func (w *world) largest(all bool, factor, constant float64) (worst float64, at time.Duration, judged int) {
	var in []time.Duration
	for _, a := range w.engine.arrivals {
		if !a.bound && !all {
			continue
		}
		in = append(in, a.at)
		for a.at-in[0] >= Window {
			in = in[1:]
		}
		limit := w.engine.allowed(a.at-Window, a.at)
		if a.at < 8*time.Second || math.IsInf(limit, 1) {
			continue // the limit was first named when the day began, and a window after it is free
		}
		judged++
		if part := float64(len(in)) / (factor*limit + constant); part > worst {
			worst, at = part, a.at
		}
	}
	return worst, at, judged
}

func (w *world) measure() measure {
	m := measure{waits: w.waits, refused: w.refused, messages: w.messages, oldest: w.oldest, urgent: float64(w.urgentSent) / float64(w.urgent)}
	m.worst, m.worstAt, m.windows = w.largest(false, 1.5, 5)
	m.all, _, _ = w.largest(true, 1.5, 5)
	m.plan, _, _ = w.largest(false, 1, 5)
	counted := 0
	for _, a := range w.engine.arrivals {
		if a.at >= 8*time.Second {
			counted++
		}
	}
	m.part = float64(counted) / w.engine.allowed(8*time.Second, w.duration)
	for _, p := range w.routers {
		m.gap = max(m.gap, p.gap, w.now-p.lastServed)
	}
	for _, h := range w.hints {
		m.hint += h / time.Duration(len(w.hints))
		m.longestHint = max(m.longestHint, h)
	}
	return m
}

func (m measure) String() string {
	return fmt.Sprintf("largest of %d windows %.2f of the allowed (at %s), with newcomers %.2f, %.2f of the limit; served %.2f, of urgent requests %.2f; longest gap %s, oldest token %s; %d of %d refused, told %s, at most %s; %d messages",
		m.windows, m.worst, m.worstAt.Round(time.Millisecond), m.all, m.plan, m.part, m.urgent, m.gap.Round(time.Millisecond), m.oldest.Round(time.Millisecond), m.refused, m.waits, m.hint.Round(time.Millisecond), m.longestHint.Round(time.Millisecond), m.messages)
}
