package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
)

// crashingCall plays a request that crashes each plain upstream that begins to run it, at a router that gets no other
// request.
type crashingCall struct {
	s         *dispatch.State
	instances []catalog.Upstream
	restart   time.Duration // from a crash to the registration of the upstream's next process; 0 if there is none
	sameID    bool          // the next process has the same id
	noticed   time.Duration // from a crash until the router knows that the attempt was interrupted
	events    []crashEvent
}

type crashEvent struct {
	at  time.Time
	run func(now time.Time)
}

// advance runs what happens until the given time, in order, and what routers do regularly.
func (c *crashingCall) advance(until time.Time) {
	for {
		next := -1
		for i, e := range c.events {
			if !e.at.After(until) && (next < 0 || e.at.Before(c.events[next].at)) {
				next = i
			}
		}
		if next < 0 {
			c.s.Fleet.Expire(until)
			return
		}
		e := c.events[next]
		c.events = append(c.events[:next:next], c.events[next+1:]...)
		e.run(e.at)
	}
}

func (c *crashingCall) at(t time.Time, run func(time.Time)) {
	c.events = append(c.events, crashEvent{t, run})
}

// send sends the request and crashes the upstream that gets it. It reports whether the request was sent.
func (c *crashingCall) send(t time.Time) bool {
	r := request(&postRoute, "plain", "")
	r.Fingerprint, r.Deadline = 4711, t.Add(1200*time.Millisecond)
	d := c.s.Decide(t, r)
	if d.Action != dispatch.Send {
		Expect(d.Reason).To(Equal("request crashes upstreams"))
		return false
	}
	id := d.Upstream.ID
	c.s.RecordStart(id, r)
	crashed := t.Add(30 * time.Millisecond)
	c.at(crashed.Add(c.noticed), func(now time.Time) { c.s.RecordEnd(now, id, r, dispatch.Interrupted) })
	for i, u := range c.instances {
		if u.ID != id {
			continue
		}
		next := u
		next.StartedUnixMS = crashed.Add(c.restart).UnixMilli()
		if !c.sameID {
			next.ID = fmt.Sprintf("%s+", u.ID)
			c.at(crashed.Add(3600*time.Millisecond), func(now time.Time) { c.s.Fleet.Remove(now, id) })
		}
		if c.restart > 0 {
			c.instances[i] = next
			c.at(crashed.Add(c.restart), func(now time.Time) { c.s.Fleet.Put(now, next) })
		}
	}
	return true
}

var _ = Describe("a request that crashes upstreams, at a router that gets no other request", func() {
	// Guards against crashes that are counted with the next request only: by then they were too old to count, and the
	// request was never refused.
	DescribeTable("is refused after its third crash", func(restart time.Duration, sameID bool, noticed, interval time.Duration) {
		c := &crashingCall{s: newState(), restart: restart, sameID: sameID, noticed: noticed}
		for i := range 8 {
			u := catalog.Upstream{ID: fmt.Sprintf("u%d", i), Service: "plain", Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "z1", Slots: 6, StartedUnixMS: 100}
			c.instances = append(c.instances, u)
			c.s.Fleet.Put(now, u)
		}
		t, sent := now, 0
		for ; sent < 8 && c.send(t); sent++ {
			t = t.Add(interval)
			c.advance(t)
		}
		Expect(sent).To(Equal(3))
	},
		Entry("back after 2 s under a new id", 2*time.Second, false, time.Duration(0), 6*time.Second),
		Entry("back after 2 s, every minute", 2*time.Second, false, time.Duration(0), time.Minute),
		Entry("back at once under a new id", 10*time.Millisecond, false, time.Duration(0), 6*time.Second),
		Entry("back at once under the same id", 10*time.Millisecond, true, time.Duration(0), 6*time.Second),
		Entry("back after 4 s under the same id", 4*time.Second, true, time.Duration(0), 6*time.Second),
		Entry("never back", time.Duration(0), false, time.Duration(0), 6*time.Second),
		Entry("back before the interruption is known, under a new id", 70*time.Millisecond, false, 250*time.Millisecond, 6*time.Second),
		Entry("back before the interruption is known, under the same id", 70*time.Millisecond, true, 250*time.Millisecond, 6*time.Second),
	)
})
