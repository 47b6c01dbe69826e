package loadgen_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/loadgen"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
)

func TestLoadgen(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadgen")
}

func options(urls ...string) loadgen.Options {
	return loadgen.Options{
		URLs: urls, Seed: 7, Count: 200, Rate: 2000, MaxTime: 5 * time.Second, Models: []string{"a", "b", "c"}, Skew: 1,
		BurstShare: 0.1, BurstSize: 4, PlainShare: 0.3, NonIdempotentShare: 0.5, Service: "loans", RunPath: "/loans",
		LookupPath: "/lookups/1", Tokens: 5, WholeShare: 0.2, Deadline: time.Second, MaxInFlight: 64, ColdAfter: time.Second, CheckText: true,
	}
}

func run(o loadgen.Options) loadgen.Report {
	GinkgoHelper()
	c := loadgen.NewCollector(o.Seed, time.Now())
	Expect(loadgen.Run(context.Background(), o, c.Add)).To(Succeed())
	return c.Report(time.Now())
}

func serve(h http.Handler) string {
	srv, err := standin.Serve("127.0.0.1:0", h, nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(srv.Close)
	return srv.URL()
}

// router serves an engine stand-in and a plain service stand-in under the paths of a router, without the system.
func router() (*standin.Engine, *standin.Plain, string) {
	e := standin.NewEngine(standin.EngineOptions{ServeUnloaded: true, Slots: 64, TokenInterval: time.Millisecond}, nil)
	p := standin.NewPlain(nil)
	mux := http.NewServeMux()
	mux.Handle("/v1/", e.Handler())
	mux.Handle("/services/loans/", http.StripPrefix("/services/loans", p.Handler()))
	return e, p, serve(mux)
}

var _ = Describe("the load", func() {
	// Guards against runs that are not reproducible, and against a load beyond its bounds.
	It("depends on its options only", func() {
		o := options("u")
		plan := loadgen.Plan(o)
		Expect(plan).To(HaveLen(200))
		Expect(loadgen.Plan(o)).To(Equal(plan))
		o.Seed++
		Expect(loadgen.Plan(o)).NotTo(Equal(plan))
		o.MaxTime = 10 * time.Millisecond
		Expect(len(loadgen.Plan(o))).To(BeNumerically("<", 100))
	})

	// Guards against complete answers counted as failures, and against a call sent twice.
	It("finds all answers of healthy upstreams complete", func() {
		_, p, url := router()
		r := run(options(url))
		Expect(r.Failures).To(BeZero(), "%v", r.FirstFailures)
		Expect(r.Outcomes).To(Equal(map[loadgen.Outcome]int{loadgen.OutcomeDone: 200}))
		Expect(r.ColdStart.Samples).To(BeNumerically(">=", 1))
		Expect(r.Whole.Samples).To(BeNumerically(">", 10))
		Expect(r.FirstToken.Samples + r.ColdStart.Samples + r.Whole.Samples + r.Plain.Samples).To(Equal(200))
		Expect(r.BetweenTokens.Samples).To(BeNumerically(">", 200))
		Expect(p.Counts().Keys).To(HaveLen(r.Kinds[loadgen.KindRun]))
		Expect(p.Counts().Repeated).To(BeZero())
	})

	// Guards against truncated answers that are counted as complete.
	It("finds truncated answers", func() {
		e, p, url := router()
		e.SetFaults(standin.EngineFaults{Truncate: 5})
		p.SetFaults(standin.PlainFaults{Truncate: 2, LoseAnswers: 1})
		r := run(options(url))
		Expect(r.Outcomes[loadgen.OutcomeTruncated] + r.Outcomes[loadgen.OutcomeWrong]).To(Equal(7))
		Expect(r.Outcomes[loadgen.OutcomeDropped]).To(Equal(1))
		Expect(r.Failures).To(Equal(8))
	})

	// Guards against lost answers that are not counted: net/http retries a GET itself when a reused connection is dropped,
	// so a lookup with a lost answer arrived twice and was counted as done.
	It("counts a lookup whose connection is dropped, and sends it once", func() {
		var arrived atomic.Int32
		o := options(serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if arrived.Add(1) == 2 {
				conn, _, err := http.NewResponseController(w).Hijack()
				Expect(err).NotTo(HaveOccurred())
				_ = conn.Close()
				return
			}
			w.Header().Set("Hibiscuscross-Outcome", "done")
		})))
		o.Count, o.PlainShare, o.NonIdempotentShare, o.MaxInFlight = 5, 1, 0, 1
		r := run(o)
		Expect(r.Outcomes[loadgen.OutcomeDropped]).To(Equal(1))
		Expect(arrived.Load()).To(Equal(int32(5)))
	})

	answer := func(status int, outcome, kind, body string) loadgen.Report {
		o := options(serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if outcome != "" {
				w.Header().Set("Hibiscuscross-Outcome", outcome)
			}
			w.Header().Set("Content-Type", kind)
			w.WriteHeader(status)
			fmt.Fprint(w, body)
		})))
		o.Count, o.PlainShare, o.WholeShare = 1, 0, 0
		return run(o)
	}

	// Guards against refusals counted as failures, and against failures hidden among refusals.
	DescribeTable("classifies", func(want loadgen.Outcome, failure bool, status int, outcome, kind, body string) {
		r := answer(status, outcome, kind, body)
		Expect(r.Outcomes).To(Equal(map[loadgen.Outcome]int{want: 1}))
		Expect(r.Failures > 0).To(Equal(failure))
	},
		Entry("a refusal by header", loadgen.OutcomeNotRun, false, 503, "not-run", "application/json", `{}`),
		Entry("a refusal by document", loadgen.OutcomeUnknown, false, 503, "", "application/json", `{"error":{"outcome":"unknown"}}`),
		Entry("an error without an outcome", loadgen.OutcomeDropped, true, 502, "", "text/plain", `bad gateway`),
		Entry("a refusal of the input", loadgen.OutcomeInvalid, false, 400, "", "application/json", `{}`),
		Entry("a trailing event", loadgen.OutcomeUnknown, false, 200, "", "text/event-stream", "data: {\"choices\":[]}\n\nevent: outcome\ndata: {\"outcome\":\"unknown\"}\n\n"),
		Entry("a stream without an end", loadgen.OutcomeTruncated, true, 200, "", "text/event-stream", "data: {\"choices\":[]}\n\n"),
		Entry("another request's answer", loadgen.OutcomeWrong, true, 200, "", "text/event-stream", "data: {\"choices\":[{\"text\":\"x\"}]}\n\ndata: [DONE]\n\n"),
	)

	// Guards against a request without an answer that blocks the run or is not counted.
	It("counts an answer after the deadline as late", func() {
		release := make(chan struct{})
		o := options(serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })))
		DeferCleanup(func() { close(release) })
		o.Count, o.Deadline = 2, 50*time.Millisecond
		Expect(run(o).Outcomes).To(Equal(map[loadgen.Outcome]int{loadgen.OutcomeLate: 2}))
	})

	// Guards against a run beyond the maximum number of requests.
	It("names an option out of range", func() {
		o := options("u")
		o.Count = loadgen.MaxCount + 1
		Expect(loadgen.Run(context.Background(), o, nil)).To(MatchError(ContainSubstring("count")))
	})
})
