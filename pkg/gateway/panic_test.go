package gateway_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
)

// panicTracer panics when the span named at starts.
type panicTracer struct {
	noop.Tracer
	at string
}

func (t panicTracer) Start(ctx context.Context, name string, opts ...trace.SpanStartOption) (context.Context, trace.Span) {
	if name == t.at {
		panic("unexpected")
	}
	return t.Tracer.Start(ctx, name, opts...)
}

// Guards against a panic closing the caller's connection without an answer.
var _ = Describe("an unexpected error in a request", func() {
	DescribeTable("is answered according to whether the request may have run, and the next request is served",
		func(at string, status int) {
			r := newRig()
			r.configure()
			r.upstream("u1", "plain", nil, sign)
			r.serve(panicTracer{at: at})
			resp, _, err := r.call(http.MethodPost, "/post/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(status))
			r.serve(noop.NewTracerProvider().Tracer(""))
			resp, _, err = r.call(http.MethodPost, "/post/x")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			r.core.Do(func(*dispatch.State) {}) // blocks if the state has stayed locked
		},
		Entry("not run before the first attempt", "request", http.StatusServiceUnavailable),
		Entry("unknown once an attempt has started", "send", http.StatusBadGateway),
	)
})
