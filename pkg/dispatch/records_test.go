package dispatch_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/prompt"
)

// Guards against a process that passes its memory limit (review/12): what it had recorded of an upstream outlived it.
var _ = Describe("the records of upstreams", func() {
	var s *dispatch.State
	BeforeEach(func() { s = newState() })
	put := func(id string, startedUnixMS int64) {
		s.Fleet.Put(now, catalog.Upstream{ID: id, Service: "llm", Address: id + ":1", Zone: "z1", Slots: 6, StartedUnixMS: startedUnixMS, Models: []catalog.Resident{{Model: "m"}}})
	}
	// send starts an attempt at the upstream, whose prompt has the number of parts that no other prompt has.
	sent := 0
	send := func(id string, parts int) *dispatch.Request {
		sent++
		r := request(&reportRoute, "llm", "m")
		r.Adapter, r.Parts = "a", nil
		for i := range parts {
			r.Parts = append(r.Parts, prompt.Part{ID: fmt.Sprintf("%d-%d", sent, i), Tokens: 32})
		}
		r.Chain = prompt.Chain("m", "", r.Parts)
		s.RecordStart(id, r)
		return r
	}
	upstreams := func() int {
		n, _ := s.Records()
		return n
	}
	parts := func() int {
		_, n := s.Records()
		return n
	}

	It("do not outlive upstreams that end again and again", func() {
		const live, rounds = 8, 50
		for round := range rounds {
			for i := range live {
				id := fmt.Sprintf("u%d-%d", i, round)
				put(id, int64(round))
				s.RecordEnd(now, id, send(id, 100), dispatch.Done)
			}
			Expect(upstreams()).To(Equal(live))
			Expect(parts()).To(Equal(live * 100))
			for i := range live {
				s.Fleet.Remove(now, fmt.Sprintf("u%d-%d", i, round))
			}
			Expect(upstreams()).To(BeZero())
		}
	})

	It("stay while requests are in progress, without what the process had cached, and go with the next end", func() {
		put("u1", 1)
		put("u2", 1)
		r := send("u1", 100)
		s.Fleet.Remove(now, "u1")
		Expect(upstreams()).To(Equal(1))
		Expect(parts()).To(BeZero())
		s.RecordFirstEvent("u1", r, 0)
		s.RecordEnd(now, "u1", r, dispatch.Interrupted)
		s.Fleet.Remove(now, "u2")
		Expect(upstreams()).To(BeZero())
	})

	It("stay while requests wait for the admission of their prompts", func() {
		put("u1", 1)
		put("u2", 1)
		s.AddPromptWait("u1", 1, 100)
		s.Fleet.Remove(now, "u1")
		Expect(upstreams()).To(Equal(1))
		s.AddPromptWait("u1", -1, 100)
		s.Fleet.Remove(now, "u2")
		Expect(upstreams()).To(BeZero())
	})

	It("start anew with a process that is back under its id", func() {
		put("u1", 1)
		r := send("u1", 100)
		put("u1", 2)
		Expect(parts()).To(BeZero())
		s.RecordEnd(now, "u1", r, dispatch.Interrupted)
		Expect(upstreams()).To(Equal(1))
		put("u1", 3)
		Expect(upstreams()).To(BeZero())
	})

	It("keep a bounded number of prompt parts of many upstreams", func() {
		const many = 300
		for i := range many {
			id := fmt.Sprintf("u%d", i)
			put(id, 1)
			for range 4 {
				s.RecordEnd(now, id, send(id, 1000), dispatch.Done)
			}
		}
		Expect(upstreams()).To(Equal(many))
		Expect(parts()).To(BeNumerically("<=", 300_000))
	})
})
