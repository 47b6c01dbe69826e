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
	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
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

// Guards against corrupted datagrams that are accepted: requests waited for the model of an order with a remaining time
// of 10^8 years.
var _ = Describe("messages", func() {
	report := func(change func(*peer.Report)) peer.Message {
		s := &peer.Report{ID: "i-1", Queued: 3, Order: &placement.Order{Model: "a"}, OrderRemainingMS: 600}
		change(s)
		return peer.Message{Report: s}
	}
	demand := func(change func(*peer.Demand)) peer.Message {
		d := &peer.Demand{Router: "edge-1", Here: []peer.LoadRequest{{Model: "a", Waiting: 1}}}
		change(d)
		return peer.Message{Demand: d}
	}
	longName := strings.Repeat("x", 257)

	It("with valid values are accepted", func() {
		Expect(decode(report(func(*peer.Report) {}))).To(Succeed())
		Expect(decode(demand(func(*peer.Demand) {}))).To(Succeed())
	})

	DescribeTable("with values out of range are rejected",
		func(m peer.Message) { Expect(decode(m)).To(MatchError(ContainSubstring("out of range"))) },
		Entry("an order that never ends", report(func(s *peer.Report) { s.OrderRemainingMS = math.MaxInt64 / 3 })),
		Entry("an order with a negative remaining time", report(func(s *peer.Report) { s.OrderRemainingMS = -1 })),
		Entry("a negative queue", report(func(s *peer.Report) { s.Queued = -1 })),
		Entry("more requests than can run", report(func(s *peer.Report) { s.Running = math.MaxInt })),
		Entry("a start before 1970", report(func(s *peer.Report) { s.StartedUnixMS = -1 })),
		Entry("memory that is not a number", report(func(s *peer.Report) { s.AvailableMemory.FreeMB = math.NaN() })),
		Entry("infinite memory", report(func(s *peer.Report) { s.AvailableMemory.IdleMB = math.Inf(1) })),
		Entry("a long name", report(func(s *peer.Report) { s.Holdings = &peer.Holdings{Models: []catalog.Resident{{Model: longName}}} })),
		Entry("a speed that is not a number", report(func(s *peer.Report) {
			s.Speed = &speed.Summary{Estimates: []speed.PooledEstimate{{Log2: float32(math.NaN())}}}
		})),
		Entry("a speed without end", report(func(s *peer.Report) {
			s.Speed = &speed.Summary{Estimates: []speed.PooledEstimate{{Weight: float32(math.Inf(1))}}}
		})),
		Entry("speeds of unknown kinds", report(func(s *peer.Report) { s.Speed = &speed.Summary{Estimates: make([]speed.PooledEstimate, 9)} })),
		Entry("a rate that is not a number", report(func(s *peer.Report) { s.Speed = &speed.Summary{TokensPerS: float32(math.NaN())} })),
		Entry("observations beyond the buckets", demand(func(d *peer.Demand) {
			d.Speed = &speed.Observed{Counts: []speed.Counts{{First: 30, Counts: []byte{1, 2, 3}}}}
		})),
		Entry("observations of a negative bucket", demand(func(d *peer.Demand) {
			d.Speed = &speed.Observed{Counts: []speed.Counts{{First: -1, Counts: []byte{1}}}}
		})),
		Entry("no router", demand(func(d *peer.Demand) { d.Router = "" })),
		Entry("a negative number of requests", demand(func(d *peer.Demand) { d.Here[0].Waiting = -5 })),
		Entry("an infinite rate", demand(func(d *peer.Demand) { d.ModelUsage = []peer.ModelUsage{{Model: "a", Rate: float32(math.Inf(1))}} })),
		Entry("a negative rank", demand(func(d *peer.Demand) { d.ModelUsage = []peer.ModelUsage{{Model: "a", HigherRanked: -1}} })),
		Entry("a negative number of loads", demand(func(d *peer.Demand) { d.FetchConcurrency = -1 })),
	)
})

// FuzzDecode checks that no input makes the decoder panic and that decoded messages can be encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range []peer.Message{
		{Report: &peer.Report{ID: "i-1", Order: &placement.Order{Model: "a"}, OrderRemainingMS: 5, Holdings: &peer.Holdings{OnDisk: []string{"a"}}}},
		{Demand: &peer.Demand{Router: "edge-1", ModelUsage: []peer.ModelUsage{{Model: "a", Rate: 1, Adapters: map[string]int{"x": 1}}},
			Speed: &speed.Observed{ID: "i-1", Counts: []speed.Counts{{First: 3, Counts: []byte{1, 2}}}}}},
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
			t.Fatalf("encode a decoded message: %v", err)
		}
	})
}
