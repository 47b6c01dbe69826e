package ops_test

import (
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/ops"
	"github.com/hibiscuscross/hibiscuscross/pkg/telemetry"
)

func TestOps(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ops")
}

func get(s *ops.Server, path string) (int, string) {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
	return w.Code, w.Body.String()
}

var _ = Describe("operators' port", func() {
	// Guards against reporting a process as ready while it starts or stops, which would make the balancer send callers to
	// it, and against a stopping process that becomes ready again.
	It("is ready only between start and stop", func() {
		s := ops.New(ops.Options{})
		steps := []struct {
			do   func()
			code int
		}{{func() {}, 503}, {s.SetReady, 200}, {func() { s.SetUnready("x") }, 503}, {s.SetReady, 200}, {s.SetStopping, 503}, {s.SetReady, 503}}
		for _, step := range steps {
			step.do()
			code, _ := get(s, "/readyz")
			Expect(code).To(Equal(step.code))
			code, _ = get(s, "/livez")
			Expect(code).To(Equal(200))
		}
	})

	// Guards against a router that returns to the balancer's rotation because one of two causes has ended, or because a cause
	// ends before the router has started.
	It("is ready only if no cause is left", func() {
		s := ops.New(ops.Options{})
		s.SetCause("partitioned", true)
		s.SetCause("partitioned", false)
		Expect(s.UnreadyReason()).To(Equal("starting"))
		s.SetReady()
		s.SetCause("partitioned", true)
		s.SetCause("old view", true)
		s.SetCause("partitioned", true)
		Expect(s.UnreadyReason()).To(Equal("old view; partitioned"))
		s.SetCause("partitioned", false)
		code, body := get(s, "/readyz")
		Expect(code).To(Equal(503))
		Expect(body).To(ContainSubstring("old view"))
		s.SetCause("old view", false)
		Expect(s.UnreadyReason()).To(BeEmpty())
	})

	// Guards against metrics that are not served, and against endpoints that are served although they are disabled.
	It("serves the metrics, status and profiles that are enabled", func() {
		reporter, handler := telemetry.NewReporter(func(err error) { Fail(err.Error()) })
		scope, closer := telemetry.NewScope("router", reporter)
		scope.Counter("attempts").Inc(3)
		Expect(closer.Close()).To(Succeed())
		s := ops.New(ops.Options{Metrics: handler, Status: func() any { return map[string]int{"a": 1} }})
		_, body := get(s, "/metrics")
		Expect(body).To(ContainSubstring(`hibiscuscross_attempts{role="router"} 3`))
		_, body = get(s, "/status")
		Expect(body).To(MatchJSON(`{"a":1}`))
		code, _ := get(s, "/debug/pprof/")
		Expect(code).To(Equal(404))
		code, _ = get(ops.New(ops.Options{Profiles: true}), "/debug/pprof/")
		Expect(code).To(Equal(200))
	})
})
