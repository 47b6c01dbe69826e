package gateway

import (
	"context"
	"fmt"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/platform"
)

const never = time.Hour

// endWorld is what happens around the end of an unframed answer, in virtual time since that end.
type endWorld struct {
	// Kind of answer, whether the upstream's replies name its start, and the time left until the deadline at the end.
	streamed, namesStart bool
	left                 time.Duration
	// The process that sent the answer closes its listener and its connections, and ends; then another one listens under its
	// id, which the list names. silent is when its VM stands still for good.
	ends, succeeded, listed, silent time.Duration
	// removed is when the process ends at short notice, which its entry and its reports name.
	removed time.Duration
	leaving bool
	// generated is the number of events that its report lists at a time, if the run goes on after its connection has ended.
	generated func(time.Duration) int
	// The router sees the end late, and stands still once.
	seen, frozenAt, frozenFor time.Duration
	// stopsAt is when the router's process stops.
	stopsAt time.Duration

	t time.Duration
}

func newEndWorld() endWorld {
	return endWorld{left: 10 * time.Second, ends: never, succeeded: never, listed: never, silent: never, removed: never, frozenAt: never, stopsAt: never}
}

func (w *endWorld) advance(d time.Duration) {
	until := w.t + max(0, d)
	if w.frozenAt >= w.t && w.frozenAt <= until {
		until = max(until, w.frozenAt+w.frozenFor)
		w.frozenAt = never
	}
	w.t = until
}

func (w *endWorld) now() time.Duration { return w.t - w.seen }

func (w *endWorld) sleep(d time.Duration) { w.advance(min(d, max(0, w.stopsAt-w.t))) }

func (w *endWorld) stops() bool { return w.t >= w.stopsAt }

func (w *endWorld) signs() endSigns {
	return endSigns{ending: w.leaving || w.removed < never, replaced: w.listed <= w.t, witnessClosed: !w.namesStart && w.ends <= w.t}
}

// query takes a millisecond each way.
func (w *endWorld) query(timeout time.Duration) (platform.InstanceReply, error) {
	if timeout <= 2*time.Millisecond || w.stops() {
		return platform.InstanceReply{}, context.DeadlineExceeded
	}
	w.advance(time.Millisecond)
	at := w.t
	if w.silent <= at {
		w.advance(timeout - time.Millisecond)
		return platform.InstanceReply{}, context.DeadlineExceeded
	}
	w.advance(time.Millisecond)
	switch {
	case w.succeeded <= at && w.namesStart:
		return platform.InstanceReply{}, platform.ErrOtherInstance
	case w.succeeded <= at:
		return platform.InstanceReply{}, nil
	case w.ends <= at:
		return platform.InstanceReply{}, syscall.ECONNREFUSED
	}
	reply := platform.InstanceReply{Leaving: w.leaving}
	if w.removed < never && w.namesStart { // only reports name it
		reply.HasRemoval, reply.Removal = true, w.removed-at
	}
	if w.generated != nil {
		reply.Events = map[string]int{"r": w.generated(at)}
	}
	return reply, nil
}

// verdict plays the check with the router's view of the end.
func (w endWorld) verdict() endVerdict {
	w.t = w.seen
	check := newEndCheck(w.streamed, w.left-w.seen)
	if w.streamed && w.namesStart {
		check.id, check.events = "r", 3
	}
	verdict, _, _, _ := check.run(&w)
	return verdict
}

// The instants lie before, between and after the steps of each check, so that events at them come in every order.
func instants() []time.Duration {
	var all []time.Duration
	for _, ms := range []int{0, 1, 2, 3, 60, 118, 119, 120, 121, 122, 150, 199, 200, 249, 250, 251, 252, 300, 500, 900, 1300} {
		all = append(all, time.Duration(ms)*time.Millisecond)
	}
	return all
}

// kinds returns the world for each kind of answer: streams and bodies of upstreams that name their start, and bodies of
// those that do not.
func kinds(w endWorld) []endWorld {
	stream, body, plain := w, w, w
	stream.streamed, stream.namesStart = true, true
	body.namesStart = true
	return []endWorld{stream, body, plain}
}

// freezes returns the world with each way in which the router stands still: not, before it sees the end, and at each instant
// of the check, for a short and a long time.
func freezes(w endWorld) []endWorld {
	all := []endWorld{w}
	for _, d := range []time.Duration{90 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second} {
		late := w
		late.seen = d
		all = append(all, late)
		for _, at := range instants() {
			frozen := w
			frozen.frozenAt, frozen.frozenFor = at, d
			all = append(all, frozen)
		}
	}
	return all
}

// expectVerdict checks each of the worlds for each kind of answer and each freeze.
func expectVerdict(worlds []endWorld, allowed ...endVerdict) {
	GinkgoHelper()
	played := 0
	for _, w := range worlds {
		for _, k := range kinds(w) {
			for _, f := range freezes(k) {
				played++
				Expect(allowed).To(ContainElement(f.verdict()), fmt.Sprintf("%+v", f))
			}
		}
	}
	Expect(played).NotTo(BeZero())
}

// with returns a world for each instant from the first one on, changed by set.
func with(worlds []endWorld, set func(*endWorld, time.Duration), bounds ...time.Duration) []endWorld {
	var all []endWorld
	for _, w := range worlds {
		for _, at := range instants() {
			if len(bounds) == 2 && (at < bounds[0] || at > bounds[1]) {
				continue
			}
			set(&w, at)
			all = append(all, w)
		}
	}
	return all
}

// at returns worlds with the times left until the deadline.
func at(w endWorld, left ...time.Duration) []endWorld {
	var all []endWorld
	for _, l := range left {
		w.left = l
		all = append(all, w)
	}
	return all
}

const (
	longestSteps  = 200 * time.Millisecond // from the end of answers to that of the process
	ms            = time.Millisecond
	muchLeft      = 10 * time.Second
	enoughLeft    = 400 * time.Millisecond
	leastLeft     = deadlineMargin + ms
	latestByTimer = -50 * ms
)

// Guards against each way in which an answer without a length or chunks ends early and looks complete, and against whole ones
// that are broken off. docs/design/unframed-answers.md has the table of the cells.
var _ = Describe("the end of an unframed answer, in every order of events,", func() {
	early := []endVerdict{endBrokenOff, endAtDeadline}
	everyLeft := []time.Duration{muchLeft, enoughLeft, 250 * ms, 100 * ms, leastLeft, deadlineMargin, 0, -time.Second}

	It("is complete if its upstream lives", func() {
		expectVerdict(at(newEndWorld(), muchLeft, 5*time.Second), endComplete)
		// A router that sees the end after the deadline cannot tell.
		for _, w := range at(newEndWorld(), enoughLeft, 250*ms, 100*ms, leastLeft) {
			for _, k := range kinds(w) {
				Expect(k.verdict()).To(Equal(endComplete), fmt.Sprintf("%+v", k))
			}
			expectVerdict([]endWorld{w}, endComplete, endAtDeadline)
		}
	})

	It("is complete if its upstream leaves as planned, or is removed much later", func() {
		leaving, removed := newEndWorld(), newEndWorld()
		leaving.leaving = true
		removed.removed = 20 * time.Second
		expectVerdict([]endWorld{leaving, removed}, endComplete)
	})

	It("is not complete if it comes at the deadline, whatever the upstream does afterwards", func() {
		var worlds []endWorld
		for left := latestByTimer; left <= deadlineMargin; left += ms / 2 {
			worlds = append(worlds, at(newEndWorld(), left)...)
		}
		expectVerdict(worlds, endAtDeadline)
	})

	It("is not complete if the process has ended", func() {
		w := newEndWorld()
		w.ends = 0
		expectVerdict(at(w, everyLeft...), early...)
	})

	It("is not complete if the process has ended and another one is back under its id, listed or not", func() {
		w := newEndWorld()
		w.ends = 0
		succeeded := with(at(w, everyLeft...), func(w *endWorld, at time.Duration) { w.succeeded = at })
		expectVerdict(succeeded, early...)
		expectVerdict(with(succeeded, func(w *endWorld, at time.Duration) { w.listed = max(w.succeeded, at) }), early...)
	})

	It("is not complete if the process ends in steps and there is time to see it", func() {
		worlds := with(at(newEndWorld(), muchLeft, enoughLeft), func(w *endWorld, at time.Duration) { w.ends = at }, 0, longestSteps)
		expectVerdict(worlds, early...)
		expectVerdict(with(worlds, func(w *endWorld, at time.Duration) { w.succeeded = max(w.ends, at) }), early...)
	})

	It("is not complete if the process ends in steps, says that it is leaving and there is time to see it", func() {
		w := newEndWorld()
		w.leaving = true
		expectVerdict(with(at(w, everyLeft...), func(w *endWorld, at time.Duration) { w.ends = at }, 0, longestSteps), early...)
	})

	It("is not complete if the process ends in steps, shortly before the deadline", func() {
		worlds := at(newEndWorld(), 250*ms, 100*ms, leastLeft)
		expectVerdict(with(worlds, func(w *endWorld, at time.Duration) { w.ends = at }, 0, longestSteps), early...)
	})

	It("is not complete if the process is removed at short notice", func() {
		for _, left := range everyLeft {
			w := newEndWorld()
			w.left = left
			worlds := with([]endWorld{w}, func(w *endWorld, at time.Duration) { w.removed, w.ends = at, at }, 0, 200*ms)
			expectVerdict(worlds, early...)
		}
	})

	It("is not complete if the VM of the process stands still", func() {
		w := newEndWorld()
		w.silent = 0
		expectVerdict(at(w, everyLeft...), early...)
	})

	It("is not complete if the run goes on behind a connection that a device has closed", func() {
		w := newEndWorld()
		w.streamed, w.namesStart = true, true
		w.generated = func(at time.Duration) int { return 3 + int(at/(100*ms)) }
		for _, f := range freezes(w) {
			Expect(early).To(ContainElement(f.verdict()), fmt.Sprintf("%+v", f))
		}
	})

	It("is not complete if the router stops before the proof", func() {
		w := newEndWorld()
		for _, k := range kinds(w) {
			k.stopsAt = 100 * ms
			Expect(k.verdict()).To(Equal(endBrokenOff))
		}
	})
})
