package account_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/account"
)

func TestAccount(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "account")
}

const ms = time.Millisecond

// stream returns the record of a complete stream on time.
func stream(change func(*account.Record)) account.Record {
	r := account.Record{
		Route: "chat", Outcome: "done", Status: 200, Runs: 1, Attempts: 1, Target: 500 * ms, MaxGap: 150 * ms,
		FirstEvent: 80 * ms, Sent: ms, Pause: 40 * ms, Took: 900 * ms, Expected: 60 * ms,
	}
	change(&r)
	return r
}

var _ = Describe("causes", func() {
	DescribeTable("of requests that were not answered on time",
		func(r account.Record, cause account.Cause) { Expect(account.CauseOf(r)).To(Equal(cause)) },
		Entry("none", stream(func(*account.Record) {}), account.OnTime),
		Entry("a load", stream(func(r *account.Record) { r.ForModel, r.Sent, r.FirstEvent = 700*ms, 705*ms, 790*ms }), account.ForModel),
		Entry("an adapter", stream(func(r *account.Record) { r.ForAdapter, r.Sent, r.FirstEvent = 450*ms, 455*ms, 550*ms }), account.ForAdapter),
		Entry("a start", stream(func(r *account.Record) { r.ForReports, r.Sent, r.FirstEvent = 450*ms, 455*ms, 550*ms }), account.ForReports),
		Entry("other prompts", stream(func(r *account.Record) { r.ForPrefill, r.Sent, r.FirstEvent = 450*ms, 455*ms, 550*ms }), account.ForPrefill),
		Entry("an earlier attempt", stream(func(r *account.Record) { r.Attempts, r.Sent, r.FirstEvent = 2, 600*ms, 650*ms }), account.AfterFailure),
		Entry("a queue that was not expected", stream(func(r *account.Record) { r.FirstEvent = 700 * ms }), account.EngineQueue),
		Entry("a queue that was expected", stream(func(r *account.Record) { r.FirstEvent, r.Expected = 700*ms, 600*ms }), account.ExpectedQueue),
		Entry("a short pause", stream(func(r *account.Record) { r.Pause = 180 * ms }), account.ShortPause),
		Entry("a preemption", stream(func(r *account.Record) { r.Pause = 3 * time.Second }), account.LongPause),
		Entry("a pause of a resumed stream", stream(func(r *account.Record) { r.Pause, r.Runs = 300*ms, 2 }), account.LongPause),
		Entry("a slow plain service", stream(func(r *account.Record) { r.FirstEvent, r.MaxGap = -1, 0 }), account.PlainSlow),
		Entry("an error of the upstream", stream(func(r *account.Record) { r.Status = 500 }), account.UpstreamFailed),
		Entry("a truncated stream", stream(func(r *account.Record) { r.Outcome = "cut" }), account.Truncated),
		Entry("a missing replica", stream(func(r *account.Record) {
			r.Outcome, r.Status, r.Reason = "refused", 503, "model cannot be loaded in time"
		}), account.RefusedModel),
		Entry("a queue", stream(func(r *account.Record) {
			r.Outcome, r.Status, r.Reason = "refused", 503, "first event is expected too late"
		}), account.RefusedQueue),
		Entry("prompts that the sidecars rejected", stream(func(r *account.Record) {
			r.Outcome, r.Status, r.Reason = "refused", 503, "engines are processing other prompts"
		}), account.RefusedQueue),
		Entry("a possible run", stream(func(r *account.Record) { r.Outcome, r.Status = "refused", 502 }), account.Unknown),
		Entry("a caller", stream(func(r *account.Record) { r.Outcome = "caller_left" }), account.CallerLeft),
	)
})

const lines = `   7.2666 edge-1 time=00:32:40.266 level=info msg=request role=entry vm=edge-1 id=r1 outcome=done status=200 took_ms=900 route=chat service=llm model=a adapter= config=3 runs=1 sends=1 cost_ms=60 report_age_ms=7 upstream=u1 priority=2 target_ms=500 gap_ms=150 reports_ms=0 model_ms=700 adapter_ms=0 sent_ms=705 uncached=90 first_ms=790 pause_ms=20 pause_at_ms=800
time=00:32:41.000 level=info msg=request role=entry vm=edge-1 id=r2 outcome=refused status=503 took_ms=1 route=chat runs=0 sends=0 target_ms=500 gap_ms=150 reason="first event is expected too late"
time=00:32:41.100 level=info msg=request role=entry vm=edge-1 id=r3 outcome=done status=200 took_ms=10 route=get runs=1 sends=1 target_ms=200 gap_ms=0 first_ms=-1
time=00:32:41.200 level=info msg=waiting role=entry vm=edge-1 id=r4 model=a
time=99:99:99 msg=request id=r5
msg="unfinished
`

var _ = Describe("the summary of a log", func() {
	var records []account.Record
	BeforeEach(func() {
		var err error
		records, err = account.Read(strings.NewReader(lines))
		Expect(err).NotTo(HaveOccurred())
	})

	It("attributes the lost credit to causes, by the worth of each route", func() {
		s := account.Summarize(records, account.Window{}, map[string]account.Worth{"chat": {OnTime: 4, Late: 1}})
		Expect(s.Requests).To(Equal(3))
		Expect(s.Owed).To(Equal(9.0))
		Expect(s.Lost).To(Equal(7.0))
		Expect(s.Lines).To(Equal([]account.Line{
			{Route: "chat", Cause: account.RefusedQueue, Requests: 1, Lost: 4}, {Route: "chat", Cause: account.ForModel, Requests: 1, Lost: 3},
		}))
		Expect(s.Text()).To(ContainSubstring("lost 7.0 (77.8%)"))
	})

	It("covers the requests that arrived in the window", func() {
		at := 32*time.Minute + 39*time.Second
		Expect(account.Summarize(records, account.Window{From: at, To: at + 999*ms}, nil).Requests).To(Equal(1))
	})

	It("explains one request", func() {
		e := account.Find(records, "r1")
		Expect(e.Causes).To(Equal([]account.Cause{account.ForModel}))
		Expect(e.Text()).To(ContainSubstring("first event after 790ms of 500ms"))
		Expect(account.Find(records, "none").Text()).To(ContainSubstring("no line"))
	})

	// Guards against prefixes that are processed again without a line that says so.
	It("sums up what was expected to be cached, what was, and the detours", func() {
		request := "time=00:32:42.000 msg=request id=%s route=chat outcome=done took_ms=9 target_ms=500 sent_ms=1 first_ms=5 uncached=2890 "
		log := fmt.Sprintf(request+"cached=6300 cached_seen=0 detour_ms=0\n"+request+"cached=6000 cached_seen=-1 detour_ms=140\n", "r6", "r7")
		records, err := account.Read(strings.NewReader(lines + log))
		Expect(err).NotTo(HaveOccurred())
		s := account.Summarize(records, account.Window{}, nil)
		Expect(s.Prefix).To(Equal(account.Prefix{Processed: 5780, Expected: 12300, Seen: 1, SeenExpected: 6300, Detours: 1, DetourTime: 140 * ms}))
		Expect(s.Text()).To(ContainSubstring("seen at 1 requests: 6300 expected, 0 cached; 1 detours cost 140ms"))
		Expect(account.Find(records, "r6").Text()).To(ContainSubstring("2890 to process, 6300 expected cached, 0 seen cached; detour cost 0s"))
		Expect(account.Find(records, "r7").Text()).To(ContainSubstring("not seen whether they were; detour cost 140ms"))
		Expect(account.Find(records, "r1").Text()).NotTo(ContainSubstring("detour")) // a line of an older process
	})

	It("is plotted, also for a log without requests", func() {
		for _, rs := range [][]account.Record{records, nil} {
			var svg bytes.Buffer
			Expect(account.WriteSVG(&svg, rs)).To(Succeed())
			Expect(svg.String()).To(ContainSubstring("<svg"))
		}
	})
})
