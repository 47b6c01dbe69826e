package peer_test

import (
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fetchturn"
	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/pkg/quota"
	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
	"github.com/hibiscuscross/hibiscuscross/pkg/upstreamlimit"
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
	request := func(change func(*fetchturn.Request)) peer.Message {
		r := &fetchturn.Request{Upstream: "i-1", Seq: 3, Wants: []placement.Want{{Model: "a"}}, Fetch: &fetchturn.Fetch{Model: "a"}, Ended: &fetchturn.Ended{Model: "b"}}
		change(r)
		return peer.Message{TurnRequest: r}
	}
	answer := func(change func(*fetchturn.Answer)) peer.Message {
		a := &fetchturn.Answer{Coordinator: "10.0.0.1:80", Upstream: "i-1", Seq: 3, Turn: "a"}
		change(a)
		return peer.Message{TurnAnswer: a}
	}
	quotaRequest := func(change func(*quota.Request)) peer.Message {
		r := &quota.Request{Router: "edge-1", Tenants: []quota.TenantRequest{{Tenant: "t", Rate: 1, Needs: []quota.Need{{ID: 1, Amount: 1}}}}}
		change(r)
		return peer.Message{QuotaRequest: r}
	}
	limitRequest := func(change func(*upstreamlimit.Request)) peer.Message {
		r := &upstreamlimit.Request{Router: "edge-1", Instance: upstreamlimit.Instance{ID: "u"}, Seq: 1, Want: []int{1, 2},
			Fact: upstreamlimit.Fact{Kind: upstreamlimit.Named, N: 1.1, SentMS: 40, ReceivedMS: 30}}
		change(r)
		return peer.Message{LimitRequest: r}
	}
	limitGrant := func(change func(*upstreamlimit.Grant)) peer.Message {
		g := &upstreamlimit.Grant{Instance: upstreamlimit.Instance{ID: "u"}, Seq: 1, N: 1.1, Tokens: []upstreamlimit.Count{{Seq: 1, Count: 1}}, RetryMS: 900}
		change(g)
		return peer.Message{LimitGrant: g}
	}
	longName := strings.Repeat("x", 257)

	It("with several contents or none are rejected", func() {
		m := request(func(*fetchturn.Request) {})
		m.Demand = &peer.Demand{Router: "edge-1"}
		Expect(decode(m)).To(MatchError(ContainSubstring("exactly one")))
		Expect(decode(peer.Message{})).To(MatchError(ContainSubstring("exactly one")))
	})

	It("with valid values are accepted", func() {
		Expect(decode(report(func(*peer.Report) {}))).To(Succeed())
		Expect(decode(demand(func(*peer.Demand) {}))).To(Succeed())
		ask := &peer.PromptAsk{Router: "edge-1", Tokens: math.MaxInt, Output: -3, SpareMS: -1, DueMS: math.MinInt64, Tenant: strings.Repeat("a", 255) + "é"}
		ask.Clamp() // callers state the sizes
		Expect(decode(peer.Message{PromptAsk: ask})).To(Succeed())
		Expect(decode(peer.Message{PromptAsk: ask, Demand: &peer.Demand{Router: "edge-1"}})).NotTo(Succeed())
		Expect(decode(request(func(*fetchturn.Request) {}))).To(Succeed())
		Expect(decode(answer(func(*fetchturn.Answer) {}))).To(Succeed())
		Expect(decode(quotaRequest(func(*quota.Request) {}))).To(Succeed())
		Expect(decode(peer.Message{QuotaGrant: &quota.Grant{Shard: 1}})).To(Succeed())
		Expect(decode(limitRequest(func(*upstreamlimit.Request) {}))).To(Succeed())
		Expect(decode(limitGrant(func(*upstreamlimit.Grant) {}))).To(Succeed())
		Expect(decode(report(func(s *peer.Report) {
			s.Limits = []upstreamlimit.Announcement{{Instance: upstreamlimit.Instance{ID: "u"}, N: upstreamlimit.MaxRate}}
		}))).To(Succeed())
	})

	DescribeTable("with values out of range are rejected",
		func(m peer.Message) { Expect(decode(m)).To(MatchError(ContainSubstring("out of range"))) },
		Entry("an order that never ends", report(func(s *peer.Report) { s.OrderRemainingMS = math.MaxInt64 / 3 })),
		Entry("an order with a negative remaining time", report(func(s *peer.Report) { s.OrderRemainingMS = -1 })),
		Entry("a negative queue", report(func(s *peer.Report) { s.Queued = -1 })),
		Entry("more requests than can run", report(func(s *peer.Report) { s.Running = math.MaxInt })),
		Entry("an age in the future", report(func(s *peer.Report) { s.AgeMS = -1 })),
		Entry("an age beyond all bounds", report(func(s *peer.Report) { s.AgeMS = math.MaxInt64 / 3 })),
		Entry("a long service", report(func(s *peer.Report) { s.Service = longName })),
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
		Entry("negative prompt tokens", report(func(s *peer.Report) { s.PromptTokens = -1 })),
		Entry("a prompt of no router", peer.Message{PromptAsk: &peer.PromptAsk{Tokens: 1}}),
		Entry("a prompt of negative size", peer.Message{PromptAsk: &peer.PromptAsk{Router: "r", Tokens: -1}}),
		Entry("a priority that engines do not have", peer.Message{PromptAsk: &peer.PromptAsk{Router: "r", Priority: 10}}),
		Entry("a prompt that waits for hours", peer.Message{PromptAsk: &peer.PromptAsk{Router: "r", SpareMS: 3_600_000}}),
		Entry("an unknown verdict", peer.Message{PromptAnswer: &peer.PromptAnswer{Verdict: 4}}),
		Entry("a negative wait", peer.Message{PromptAnswer: &peer.PromptAnswer{Verdict: 1, WaitMS: -1}}),
		Entry("an unknown end", peer.Message{PromptEnd: &peer.PromptEnd{Router: "r", Kind: 9}}),
		Entry("a shard that does not exist", report(func(s *peer.Report) { s.Quotas = []quota.Announcement{{Shard: quota.Shards}} })),
		Entry("a lease that never ends", report(func(s *peer.Report) { s.Quotas = []quota.Announcement{{RemainingMS: math.MaxInt64}} })),
		Entry("a quota request without a router", quotaRequest(func(r *quota.Request) { r.Router = "" })),
		Entry("a negative shard", quotaRequest(func(r *quota.Request) { r.Shard = -1 })),
		Entry("a limit that is not a number", quotaRequest(func(r *quota.Request) { r.Tenants[0].Rate = math.NaN() })),
		Entry("a negative need", quotaRequest(func(r *quota.Request) { r.Tenants[0].Needs[0].Amount = -1 })),
		Entry("a negative priority", quotaRequest(func(r *quota.Request) { r.Tenants[0].Needs[0].Priority = -1 })),
		Entry("an infinite amount ahead", quotaRequest(func(r *quota.Request) { r.Tenants[0].Ahead = math.Inf(1) })),
		Entry("a negative return", quotaRequest(func(r *quota.Request) { r.Tenants[0].Returned = []quota.Return{{Amount: -1}} })),
		Entry("a grant of another shard", peer.Message{QuotaGrant: &quota.Grant{Shard: quota.Shards}}),
		Entry("a grant of less than nothing", peer.Message{QuotaGrant: &quota.Grant{Tenants: []quota.TenantGrant{{Ahead: -1}}}}),
		Entry("a wait of years", peer.Message{QuotaGrant: &quota.Grant{Tenants: []quota.TenantGrant{{Needs: []quota.Answer{{WaitMS: 1 << 40}}}}}}),
		Entry("a limit request without a router", limitRequest(func(r *upstreamlimit.Request) { r.Router = "" })),
		Entry("a limit request without an upstream", limitRequest(func(r *upstreamlimit.Request) { r.Instance.ID = "" })),
		Entry("an instance that started before 1970", limitRequest(func(r *upstreamlimit.Request) { r.Instance.StartedUnixMS = -1 })),
		Entry("a rate that an upstream can't name", limitRequest(func(r *upstreamlimit.Request) { r.Fact.N = math.NaN() })),
		Entry("a negative rate", limitRequest(func(r *upstreamlimit.Request) { r.Fact.N = -1 })),
		Entry("a rate without end", limitRequest(func(r *upstreamlimit.Request) { r.Heard = math.Inf(1) })),
		Entry("an unknown kind of fact", limitRequest(func(r *upstreamlimit.Request) { r.Fact.Kind = 3 })),
		Entry("an answer from the future", limitRequest(func(r *upstreamlimit.Request) { r.Fact.ReceivedMS = -1 })),
		Entry("an age that overflows", limitRequest(func(r *upstreamlimit.Request) { r.EchoAgeMS = math.MaxInt64 })),
		Entry("less than no waiting requests", limitRequest(func(r *upstreamlimit.Request) { r.Want[0] = -1 })),
		Entry("too many priorities", limitRequest(func(r *upstreamlimit.Request) { r.Want = make([]int, upstreamlimit.Priorities+1) })),
		Entry("a negative debt", limitRequest(func(r *upstreamlimit.Request) { r.Spent = -1 })),
		Entry("a negative return of tokens", limitRequest(func(r *upstreamlimit.Request) { r.Returned = []upstreamlimit.Count{{Count: -1}} })),
		Entry("too many returns", limitRequest(func(r *upstreamlimit.Request) { r.Returned = make([]upstreamlimit.Count, 65) })),
		Entry("a grant of a negative number of tokens", limitGrant(func(g *upstreamlimit.Grant) { g.Tokens[0].Count = -1 })),
		Entry("a grant at an infinite rate", limitGrant(func(g *upstreamlimit.Grant) { g.N = math.Inf(1) })),
		Entry("a grant of a long name", limitGrant(func(g *upstreamlimit.Grant) { g.Instance.ID = longName })),
		Entry("a token in centuries", limitGrant(func(g *upstreamlimit.Grant) { g.RetryMS = math.MaxInt64 })),
		Entry("a limit of no upstream", report(func(s *peer.Report) { s.Limits = []upstreamlimit.Announcement{{N: 1}} })),
		Entry("a limit that is negative", report(func(s *peer.Report) {
			s.Limits = []upstreamlimit.Announcement{{Instance: upstreamlimit.Instance{ID: "u"}, N: -1}}
		})),
		Entry("too many limits", report(func(s *peer.Report) { s.Limits = make([]upstreamlimit.Announcement, 65) })),
		Entry("a negative number of loads", demand(func(d *peer.Demand) { d.FetchConcurrency = -1 })),
		Entry("an infinite weight", demand(func(d *peer.Demand) { d.ModelDemand = []peer.ModelDemand{{Model: "a", Weight: float32(math.Inf(1))}} })),
		Entry("a negative single-copy rate", demand(func(d *peer.Demand) { d.ModelDemand = []peer.ModelDemand{{Model: "a", SingleCopyRate: -1}} })),
		Entry("demand for too many models", demand(func(d *peer.Demand) { d.ModelDemand = make([]peer.ModelDemand, 1025) })),
		Entry("a load that is never expected", report(func(s *peer.Report) { s.ExpectedLoads = []fetchturn.Expectation{{Model: "a", MS: math.MaxInt64}} })),
		Entry("too many expected loads", report(func(s *peer.Report) { s.ExpectedLoads = make([]fetchturn.Expectation, 65) })),
		Entry("a negative concurrency of the store", report(func(s *peer.Report) { s.StoreConcurrency = -1 })),
		Entry("a request without an upstream", request(func(r *fetchturn.Request) { r.Upstream = "" })),
		Entry("a request for too many models", request(func(r *fetchturn.Request) { r.Wants = make([]placement.Want, 9) })),
		Entry("a request for a long name", request(func(r *fetchturn.Request) { r.Wants[0].Model = longName })),
		Entry("a fetch with a negative age", request(func(r *fetchturn.Request) { r.Fetch.AgeMS = -1 })),
		Entry("a fetch of centuries", request(func(r *fetchturn.Request) { r.Ended.DurationMS = math.MaxInt64 })),
		Entry("an answer without a coordinator", answer(func(a *fetchturn.Answer) { a.Coordinator = "" })),
		Entry("a turn for a long name", answer(func(a *fetchturn.Answer) { a.Turn = longName })),
	)
})

// FuzzDecode checks that no input makes the decoder panic and that decoded messages can be encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range []peer.Message{
		{Report: &peer.Report{ID: "i-1", Order: &placement.Order{Model: "a"}, OrderRemainingMS: 5, Holdings: &peer.Holdings{OnDisk: []string{"a"}}}},
		{PromptAsk: &peer.PromptAsk{Router: "edge-1", Epoch: 1, Seq: 2, Tokens: 9000, Tenant: "t", SpareMS: 5, DueMS: -5}},
		{TurnRequest: &fetchturn.Request{Upstream: "i-1", Wants: []placement.Want{{Model: "a"}}, Fetch: &fetchturn.Fetch{Model: "a", AgeMS: 5}}},
		{TurnAnswer: &fetchturn.Answer{Coordinator: "c", Upstream: "i-1", Turn: "a"}},
		{QuotaRequest: &quota.Request{Router: "edge-1", Tenants: []quota.TenantRequest{{Tenant: "t", Needs: []quota.Need{{ID: 1, Amount: 5}}}}}},
		{QuotaGrant: &quota.Grant{Tenants: []quota.TenantGrant{{Tenant: "t", Needs: []quota.Answer{{ID: 1, Granted: true}}}}}},
		{LimitRequest: &upstreamlimit.Request{Router: "edge-1", Instance: upstreamlimit.Instance{ID: "u", StartedUnixMS: 1}, Seq: 2, Want: []int{0, 1}}},
		{LimitGrant: &upstreamlimit.Grant{Instance: upstreamlimit.Instance{ID: "u"}, Seq: 2, N: 0.5, Tokens: []upstreamlimit.Count{{Seq: 2, Count: 1}}}},
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
