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
		ask := &peer.PromptAsk{Router: "edge-1", Tokens: math.MaxInt, Output: -3, SpareMS: -1, DueMS: math.MinInt64, Tenant: longName}
		ask.Clamp() // callers state the sizes
		Expect(decode(peer.Message{PromptAsk: ask})).To(Succeed())
		Expect(decode(peer.Message{PromptAsk: ask, Demand: &peer.Demand{Router: "edge-1"}})).NotTo(Succeed())
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
		Entry("no router", demand(func(d *peer.Demand) { d.Router = "" })),
		Entry("a negative number of requests", demand(func(d *peer.Demand) { d.Here[0].Waiting = -5 })),
		Entry("an infinite rate", demand(func(d *peer.Demand) { d.ModelUsage = []peer.ModelUsage{{Model: "a", Rate: float32(math.Inf(1))}} })),
		Entry("a negative rank", demand(func(d *peer.Demand) { d.ModelUsage = []peer.ModelUsage{{Model: "a", HigherRanked: -1}} })),
		Entry("negative prompt tokens", report(func(s *peer.Report) { s.PromptTokens = -1 })),
		Entry("a prompt of no router", peer.Message{PromptAsk: &peer.PromptAsk{Tokens: 1}}),
		Entry("a prompt of negative size", peer.Message{PromptAsk: &peer.PromptAsk{Router: "r", Tokens: -1}}),
		Entry("a priority that engines do not have", peer.Message{PromptAsk: &peer.PromptAsk{Router: "r", Priority: 10}}),
		Entry("a prompt that waits for hours", peer.Message{PromptAsk: &peer.PromptAsk{Router: "r", SpareMS: 3_600_000}}),
		Entry("an unknown verdict", peer.Message{PromptAnswer: &peer.PromptAnswer{Verdict: 4}}),
		Entry("a negative wait", peer.Message{PromptAnswer: &peer.PromptAnswer{Verdict: 1, WaitMS: -1}}),
		Entry("an unknown end", peer.Message{PromptEnd: &peer.PromptEnd{Router: "r", Kind: 9}}),
		Entry("a negative number of loads", demand(func(d *peer.Demand) { d.FetchConcurrency = -1 })),
	)
})

// FuzzDecode checks that no input makes the decoder panic and that decoded messages can be encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range []peer.Message{
		{Report: &peer.Report{ID: "i-1", Order: &placement.Order{Model: "a"}, OrderRemainingMS: 5, Holdings: &peer.Holdings{OnDisk: []string{"a"}}}},
		{PromptAsk: &peer.PromptAsk{Router: "edge-1", Epoch: 1, Seq: 2, Tokens: 9000, Tenant: "t", SpareMS: 5, DueMS: -5}},
		{Demand: &peer.Demand{Router: "edge-1", ModelUsage: []peer.ModelUsage{{Model: "a", Rate: 1, Adapters: map[string]int{"x": 1}}}}},
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
