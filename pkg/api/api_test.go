package api_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/api"
	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/router"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

func TestAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "api")
}

func hash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

var document = &config.Document{Version: 1, Config: &config.Config{
	Limits: config.Limits{MaxWaitMS: 60000},
	Models: []config.Model{
		{Name: "m1", Group: "g", MaxReplicas: 2, MemoryBytes: 10, KVReserveBytes: 5},
		{Name: "m2", Group: "g", MaxReplicas: 1}, {Name: "m3", Group: "g"},
	},
	Adapters: []config.Adapter{{Name: "a1", Model: "m1", MemoryBytes: 1}},
	Services: []config.Service{
		{Name: "reading", Group: "g", Models: []string{"m1", "m3"}, Adapters: []string{"a1"}, Priority: 5, MaxWaitMS: 4000},
		{Name: "secret", Group: "g", Models: []string{"m2"}, Priority: 9, MaxWaitMS: 4000},
		{Name: "loans", Group: "p", MaxWaitMS: 2000, Calls: []config.Call{
			{Method: "GET", PathPrefix: "/"}, {Method: "POST", PathPrefix: "/"},
			{Method: "POST", PathPrefix: "/loans", NonIdempotent: true},
		}},
	},
	Callers: []config.Caller{
		{Name: "van", KeySHA256: hash("van-key"), Services: []string{"reading", "loans"}},
		{Name: "shop", KeySHA256: hash("shop-key"), Services: []string{"secret"}},
	},
}}

// forwarder records requests and answers them with serve.
type forwarder struct {
	got   []*router.Request
	serve func(sink router.Sink) (router.Result, error)
}

func (f *forwarder) Serve(_ context.Context, req *router.Request, sink router.Sink) (router.Result, error) {
	f.got = append(f.got, req)
	return f.serve(sink)
}

func completeAnswer(contentType, body string) func(router.Sink) (router.Result, error) {
	return func(s router.Sink) (router.Result, error) {
		_ = s.Head(engine.Head{Status: 201, Header: []engine.Header{{Name: "Content-Type", Value: contentType}, {Name: "Content-Length", Value: "99"}}}, true)
		return router.Result{Outcome: wire.OutcomeDone}, s.Data([]byte(body))
	}
}

func streamedAnswer(last router.Result) func(router.Sink) (router.Result, error) {
	return func(s router.Sink) (router.Result, error) {
		_ = s.Head(engine.Head{Status: 200, Header: []engine.Header{{Name: "Content-Type", Value: "text/event-stream"}}}, false)
		return last, s.Data([]byte("data: {}\n\n"))
	}
}

type fixture struct {
	f   *forwarder
	url string
}

func newFixture(configured bool) *fixture {
	f := &forwarder{serve: completeAnswer("application/json", "{}")}
	s := api.New(f, nil)
	if configured {
		s.Configure(document)
	}
	srv := httptest.NewServer(s)
	DeferCleanup(srv.Close)
	return &fixture{f: f, url: srv.URL}
}

// do sends a request. Headers are "Name: value"; a header without a value removes a default one.
func (x *fixture) do(method, path, body string, headers ...string) (*http.Response, string, error) {
	req, err := http.NewRequest(method, x.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer van-key")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Del(name)
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

const (
	chat  = "/v1/chat/completions"
	keyV7 = "01920000-0000-7000-8000-000000000000"
	keyV4 = "6ba7b810-9dad-41d1-80b4-00c04fd430c8"
)

var _ = Describe("callers' interface", func() {
	// Guards against forwarding invalid input, an error that does not name the field, access to another caller's models,
	// and a wrong outcome.
	DescribeTable("refuses", func(status int, param, outcome, method, path, body string, headers ...string) {
		x := newFixture(true)
		resp, text, err := x.do(method, path, body, headers...)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(status), text)
		var e struct {
			Error struct{ Code, Message, Outcome, Param string }
		}
		Expect(json.Unmarshal([]byte(text), &e)).To(Succeed())
		Expect(e.Error.Param).To(Equal(param))
		Expect(e.Error.Message).NotTo(BeEmpty())
		Expect(e.Error.Outcome).To(Equal(outcome))
		Expect(resp.Header.Get("Hibiscuscross-Outcome")).To(Equal(outcome))
		Expect(resp.Header.Get("X-Request-Id")).NotTo(BeEmpty())
		Expect(x.f.got).To(BeEmpty())
	},
		Entry("no credentials", 401, "Authorization", "not-run", "POST", chat, `{"model":"m1"}`, "Authorization"),
		Entry("wrong credentials", 401, "Authorization", "not-run", "POST", chat, `{"model":"m1"}`, "Authorization: Bearer x"),
		Entry("wrong credentials with a key whose call may have run", 401, "Authorization", "unknown", "POST", "/services/loans/loans", "", "Authorization: Bearer x", "Idempotency-Key: "+keyV7),
		Entry("a model of another caller", 404, "model", "not-run", "POST", chat, `{"model":"m2"}`),
		Entry("an unknown model", 404, "model", "not-run", "POST", chat, `{"model":"m9"}`),
		Entry("a model with no replicas", 404, "model", "not-run", "POST", chat, `{"model":"m3"}`),
		Entry("no model", 400, "model", "not-run", "POST", chat, `{"messages":[]}`),
		Entry("a model that is not a string", 400, "model", "not-run", "POST", chat, `{"model":1}`),
		Entry("two models", 400, "model", "not-run", "POST", chat, `{"model":"m2","model":"m1"}`),
		Entry("a model in another case", 400, "model", "not-run", "POST", chat, `{"model":"m1","Model":"m2"}`),
		Entry("a body that is not JSON", 400, "body", "not-run", "POST", chat, `{"model":"m1"`),
		Entry("a body with data after the JSON object", 400, "body", "not-run", "POST", chat, `{"model":"m1"} {"model":"m2"}`),
		Entry("a body that is too large", 413, "body", "not-run", "POST", chat, string(bytes.Repeat([]byte(" "), api.MaxBodyBytes+1))),
		Entry("a malformed deadline", 400, "Hibiscuscross-Deadline-Ms", "not-run", "POST", chat, `{"model":"m1"}`, "Hibiscuscross-Deadline-Ms: -1"),
		Entry("a malformed priority", 400, "Hibiscuscross-Priority", "not-run", "POST", chat, `{"model":"m1"}`, "Hibiscuscross-Priority: high"),
		Entry("an unknown service", 404, "service", "not-run", "GET", "/services/secret/x", ""),
		Entry("an unknown call", 404, "path", "not-run", "DELETE", "/services/loans/x", ""),
		Entry("a path that resolves to another call", 400, "path", "not-run", "POST", "/services/loans/x/..%2floans", ""),
		Entry("a missing key", 400, "Idempotency-Key", "not-run", "POST", "/services/loans/loans", ""),
		Entry("a key that is not a UUID", 400, "Idempotency-Key", "not-run", "POST", "/services/loans/loans", "", "Idempotency-Key: x"),
		Entry("a key of another version", 400, "Idempotency-Key", "not-run", "POST", "/services/loans/loans", "", "Idempotency-Key: "+keyV4),
		Entry("a malformed attempt", 400, "Hibiscuscross-Attempt", "unknown", "POST", "/services/loans/loans", "", "Idempotency-Key: "+keyV7, "Hibiscuscross-Attempt: one"),
		Entry("an unknown path", 404, "path", "not-run", "GET", "/v2/models", ""),
	)

	// Guards against serving requests before the configured limits are known.
	It("refuses everything without a configuration", func() {
		resp, text, _ := newFixture(false).do("POST", chat, `{"model":"m1"}`)
		Expect(resp.StatusCode).To(Equal(503))
		Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
		Expect(text).To(ContainSubstring("no_config"))
	})

	// Guards against refusing a model request for a header that some clients add to every POST, and against a caller that
	// exceeds the service's limits.
	It("forwards a model request within the service's limits", func() {
		x := newFixture(true)
		resp, _, _ := x.do("POST", chat, `{"model":"a1"}`, "Idempotency-Key: x", "Hibiscuscross-Priority: 9", "Hibiscuscross-Deadline-Ms: 999999")
		Expect(resp.StatusCode).To(Equal(201))
		r := x.f.got[0]
		Expect(r.Target).To(Equal(engine.Target{Model: "m1", Adapter: "a1"}))
		Expect([]any{r.Caller, r.Service, r.Group, r.Priority, r.NonIdempotent, r.MemoryBytes, r.Ceiling}).To(Equal([]any{"van", "reading", "g", 5, false, int64(16), 2}))
		Expect(time.Until(r.Deadline)).To(BeNumerically("~", 4*time.Second, time.Second))
		_, _, _ = x.do("POST", chat, `{"model":"a1"}`, "Hibiscuscross-Priority: 2", "Hibiscuscross-Deadline-Ms: 500")
		Expect(x.f.got[1].Priority).To(Equal(2))
		Expect(time.Until(x.f.got[1].Deadline)).To(BeNumerically("<", 500*time.Millisecond))
	})

	// Guards against altering a plain call on the way to its service, and against headers that change the checked call.
	It("preserves a plain call", func() {
		x := newFixture(true)
		x.f.serve = completeAnswer("text/plain", "lent")
		resp, body, _ := x.do("POST", "/services/loans/loans/7?copy=2", "book", "Idempotency-Key: "+strings.ToUpper(keyV7), "Hibiscuscross-Attempt: 1", "X-Http-Method-Override: GET", "X-Van: 3")
		Expect([]any{resp.StatusCode, body, resp.Header.Get("Content-Type"), resp.Header.Get("Hibiscuscross-Outcome")}).To(Equal([]any{201, "lent", "text/plain", "done"}))
		r := x.f.got[0]
		Expect([]any{r.Method, r.Path, string(r.Body), r.Key, r.FirstSend, r.NonIdempotent, r.Kind}).To(Equal([]any{"POST", "/loans/7?copy=2", "book", keyV7, true, true, wire.KindPlain}))
		Expect(r.Header).To(ContainElement(engine.Header{Name: "X-Van", Value: "3"}))
		Expect(r.Header).NotTo(ContainElement(HaveField("Name", "X-Http-Method-Override")))
		Expect(r.Header).NotTo(ContainElement(HaveField("Name", "Authorization")))
	})

	// Guards against a stream without an outcome, and against a truncated stream that looks complete.
	DescribeTable("ends a stream", func(last router.Result, outcome, events string) {
		x := newFixture(true)
		x.f.serve = streamedAnswer(last)
		resp, body, err := x.do("POST", chat, `{"model":"m1"}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Trailer.Get("Hibiscuscross-Outcome")).To(Equal(outcome))
		Expect(body).To(Equal("data: {}\n\n" + events))
	},
		Entry("that is complete", router.Result{Outcome: wire.OutcomeDone}, "done", "event: hibiscuscross\ndata: {\"outcome\":\"done\"}\n\n"),
		Entry("that was truncated", router.Result{Outcome: wire.OutcomeUnknown, Refusal: &wire.Refuse{Outcome: wire.OutcomeUnknown, Code: wire.CodePeerLost, Reason: "r"}}, "unknown",
			"data: {\"error\":{\"code\":\"peer_lost\",\"message\":\"r\",\"outcome\":\"unknown\"}}\n\nevent: hibiscuscross\ndata: {\"outcome\":\"unknown\",\"error\":{\"code\":\"peer_lost\",\"message\":\"r\",\"outcome\":\"unknown\"}}\n\n"),
	)

	// Guards against a truncated body of a plain service that looks complete.
	It("closes the connection of a truncated body", func() {
		x := newFixture(true)
		x.f.serve = streamedAnswer(router.Result{Outcome: wire.OutcomeUnknown, Refusal: &wire.Refuse{Outcome: wire.OutcomeUnknown, Code: wire.CodePeerLost}})
		_, _, err := x.do("GET", "/services/loans/x", "")
		Expect(err).To(HaveOccurred())
	})

	// Guards against a truncated body that looks complete to a caller of HTTP/1.0, which has no chunks: only the end of the
	// connection marks the end of a body without a length.
	It("does not end a truncated body regularly for a caller of HTTP/1.0", func() {
		x := newFixture(true)
		x.f.serve = streamedAnswer(router.Result{Outcome: wire.OutcomeUnknown, Refusal: &wire.Refuse{Outcome: wire.OutcomeUnknown, Code: wire.CodePeerLost}})
		c, err := net.Dial("tcp4", strings.TrimPrefix(x.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = io.WriteString(c, "GET /services/loans/x HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer van-key\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		raw, err := io.ReadAll(c)
		Expect(string(raw)).To(HavePrefix("HTTP/1.0 200"))
		Expect(string(raw)).To(HaveSuffix("data: {}\n\n"))
		Expect(err).To(HaveOccurred(), "the connection ended regularly")
	})

	// Guards against a refusal without a Retry-After header.
	It("returns the refusals of agents", func() {
		x := newFixture(true)
		x.f.serve = func(router.Sink) (router.Result, error) {
			return router.Result{Outcome: wire.OutcomeNotRun, Refusal: &wire.Refuse{Outcome: wire.OutcomeNotRun, Code: wire.CodeQueueFull, Reason: "full", RetryAfterMS: 2500}}, nil
		}
		resp, body, _ := x.do("POST", chat, `{"model":"m1"}`)
		Expect([]any{resp.StatusCode, resp.Header.Get("Retry-After"), resp.Header.Get("Hibiscuscross-Outcome")}).To(Equal([]any{503, "3", "not-run"}))
		Expect(body).To(MatchJSON(`{"error":{"code":"queue_full","message":"full","outcome":"not-run"}}`))
	})

	// Guards against listing another caller's models.
	It("lists the models that the caller may use", func() {
		_, body, _ := newFixture(true).do("GET", "/v1/models", "")
		Expect(body).To(ContainSubstring(`"a1"`))
		Expect(body).To(ContainSubstring(`"m1"`))
		Expect(body).NotTo(ContainSubstring(`"m2"`))
		Expect(body).NotTo(ContainSubstring(`"m3"`))
	})
})
