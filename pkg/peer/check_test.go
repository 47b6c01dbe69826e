package peer_test

import (
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

func decode(m peer.Message) error {
	raw, err := cbor.Marshal(m)
	Expect(err).NotTo(HaveOccurred())
	_, err = peer.Decode(raw)
	return err
}

// A mutated datagram with an order that takes 10^8 years was taken; requests for its model waited for it.
var _ = Describe("messages", func() {
	state := func(change func(*peer.State)) peer.Message {
		s := &peer.State{ID: "i-1", Queued: 3, Order: &placement.Order{Model: "a"}, OrderRemainingMS: 600}
		change(s)
		return peer.Message{State: s}
	}
	demand := func(change func(*peer.Demand)) peer.Message {
		d := &peer.Demand{Router: "edge-1", Here: []peer.LoadRequest{{Model: "a", Waiting: 1}}}
		change(d)
		return peer.Message{Demand: d}
	}
	long := strings.Repeat("x", 257)

	It("with values that can be are taken", func() {
		Expect(decode(state(func(*peer.State) {}))).To(Succeed())
		Expect(decode(demand(func(*peer.Demand) {}))).To(Succeed())
	})

	DescribeTable("with values that cannot be are refused",
		func(m peer.Message) { Expect(decode(m)).To(MatchError(ContainSubstring("out of range"))) },
		Entry("an order without end", state(func(s *peer.State) { s.OrderRemainingMS = math.MaxInt64 / 3 })),
		Entry("an order that ended before it began", state(func(s *peer.State) { s.OrderRemainingMS = -1 })),
		Entry("a negative queue", state(func(s *peer.State) { s.Queued = -1 })),
		Entry("more requests than can run", state(func(s *peer.State) { s.Running = math.MaxInt })),
		Entry("a start before 1970", state(func(s *peer.State) { s.Born = -1 })),
		Entry("memory that is no number", state(func(s *peer.State) { s.Room.FreeMB = math.NaN() })),
		Entry("memory without bound", state(func(s *peer.State) { s.Room.IdleMB = math.Inf(1) })),
		Entry("a long name", state(func(s *peer.State) { s.Holdings = &peer.Holdings{Models: []catalog.Resident{{Model: long}}} })),
		Entry("no router", demand(func(d *peer.Demand) { d.Router = "" })),
		Entry("fewer than no requests", demand(func(d *peer.Demand) { d.Here[0].Waiting = -5 })),
		Entry("a rate without bound", demand(func(d *peer.Demand) { d.Held = []peer.Held{{Model: "a", Rate: float32(math.Inf(1))}} })),
		Entry("a negative rank", demand(func(d *peer.Demand) { d.Held = []peer.Held{{Model: "a", Before: -1}} })),
		Entry("a negative number of loads", demand(func(d *peer.Demand) { d.Parallel = -1 })),
	)
})

// FuzzDecode checks that no bytes make the decoder panic and that what it takes can be sent on.
func FuzzDecode(f *testing.F) {
	for _, m := range []peer.Message{
		{State: &peer.State{ID: "i-1", Order: &placement.Order{Model: "a"}, OrderRemainingMS: 5, Holdings: &peer.Holdings{OnDisk: []string{"a"}}}},
		{Demand: &peer.Demand{Router: "edge-1", Held: []peer.Held{{Model: "a", Rate: 1, Adapters: map[string]int{"x": 1}}}}},
	} {
		raw, err := peer.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := peer.Decode(raw)
		if err != nil || len(raw) > peer.MaxDatagram/2 {
			return
		}
		if _, err := peer.Encode(m); err != nil {
			t.Fatalf("a message that was taken cannot be encoded: %v", err)
		}
	})
}
