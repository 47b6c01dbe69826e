package plain_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine/plain"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
)

func TestPlain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plain")
}

var ctx = context.Background()

func connect(url string) engine.Engine {
	k := kernel.New()
	DeferCleanup(k.Cleanup)
	e, err := kernel.LoadAs[engine.Engine](ctx, k, plain.ID, kernel.Settings{"url": url, "slots": "3"})
	Expect(err).NotTo(HaveOccurred())
	return e
}

func open() (*standin.Plain, engine.Engine) {
	s := standin.NewPlain(nil)
	srv, err := standin.Serve("127.0.0.1:0", s.Handler(), nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(srv.Close)
	return s, connect(srv.URL())
}

func loan(key string) engine.Call {
	return engine.Call{
		RequestID: "r", Method: http.MethodPost, Path: "/loans/b%2F1?branch=enugu", Body: []byte(`{"book":1}`),
		Header: []engine.Header{{Name: "Idempotency-Key", Value: key}, {Name: "Connection", Value: "upgrade"}},
	}
}

func read(s engine.Stream) ([]byte, error) {
	defer s.Close()
	var all []byte
	for {
		b, err := s.Next(ctx)
		all = append(all, b...)
		if err != nil {
			return all, err
		}
	}
}

var _ = Describe("a call of a plain service", func() {
	// Guards against a changed method, path, query, body, key or status.
	It("is forwarded unchanged", func() {
		_, e := open()
		st, err := e.Start(ctx, loan("k"))
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Head().Status).To(Equal(http.StatusCreated))
		body, err := read(st)
		Expect(err).To(Equal(io.EOF))
		var run standin.PlainRun
		Expect(json.Unmarshal(body, &run)).To(Succeed())
		Expect(run).To(Equal(standin.PlainRun{Number: 1, Method: "POST", Path: "/loans/b%2F1", Query: "branch=enugu", Key: "k", Body: `{"book":1}`}))
		st, err = e.Start(ctx, engine.Call{Method: http.MethodGet, Path: "/missing/x"})
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Head().Status).To(Equal(http.StatusNotFound))
		_, err = read(st)
		Expect(err).To(Equal(io.EOF))
	})

	// Guards against a second run: net/http by itself retries a request with an Idempotency-Key when a reused connection
	// is closed without an answer.
	It("is sent once when its answer is lost, also after earlier calls", func() {
		s, e := open()
		for _, key := range []string{"a", "b"} {
			st, err := e.Start(ctx, loan(key))
			Expect(err).NotTo(HaveOccurred())
			_, err = read(st)
			Expect(err).To(Equal(io.EOF))
		}
		s.SetFaults(standin.PlainFaults{LoseAnswers: 1})
		_, err := e.Start(ctx, loan("lost"))
		Expect(err).To(MatchError(engine.ErrDied))
		Expect(s.Counts().Keys).To(Equal(map[string]int{"a": 1, "b": 1, "lost": 1}))
	})

	// Guards against following a redirect, which would make a second call and hide the status.
	It("does not follow a redirect", func() {
		calls := 0
		srv, err := standin.Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
		}), nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(srv.Close)
		st, err := connect(srv.URL()).Start(ctx, loan("k"))
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Head().Status).To(Equal(http.StatusTemporaryRedirect))
		_, err = read(st)
		Expect(err).To(Equal(io.EOF))
		Expect(calls).To(Equal(1))
	})

	// Guards against wrongly reporting that a call did not run.
	It("is reported as not started only without a connection", func() {
		_, err := connect("http://127.0.0.1:1").Start(ctx, loan("k"))
		Expect(err).To(MatchError(engine.ErrNotStarted))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		_, err = connect("http://"+l.Addr().String()).Start(short, loan("k"))
		Expect(err).To(MatchError(engine.ErrUnknown))
	})

	// Guards against mistaking a truncated answer for a complete one.
	It("with a truncated answer ends with an error", func() {
		s, e := open()
		s.SetFaults(standin.PlainFaults{Truncate: 1})
		st, err := e.Start(ctx, loan("k"))
		Expect(err).NotTo(HaveOccurred())
		_, err = read(st)
		Expect(err).To(MatchError(engine.ErrDied))
	})

	// Guards against bytes that are passed on as an answer: a service in trouble sends a head that no answer has.
	DescribeTable("has an unknown outcome if the head of its answer is malformed",
		func(head string) {
			srv, err := standin.Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				Expect(err).NotTo(HaveOccurred())
				_, _ = io.WriteString(c, head+"Content-Length: 4\r\n\r\nbody") // the assertion is on the reading side
				_ = c.Close()
			}), nil)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(srv.Close)
			_, err = connect(srv.URL()).Start(ctx, loan("k"))
			Expect(err).To(MatchError(engine.ErrUnknown))
		},
		Entry("status 000", "HTTP/1.1 000 Unknown\r\n"),
		Entry("status 101, for which no call asks", "HTTP/1.1 101 Switching Protocols\r\n"),
		Entry("a blank within the name of a field", "HTTP/1.1 200 OK\r\nX Own: 1\r\n"),
		Entry("a blank behind the name of the framing", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"),
		Entry("a control byte within the name of a field", "HTTP/1.1 200 OK\r\nX\x01Own: 1\r\n"),
	)

	// Guards against orders and resumed calls that seem to succeed at an upstream that supports neither.
	It("cannot be resumed, and orders are refused", func() {
		_, e := open()
		Expect(e.Order(ctx, engine.Order{})).To(MatchError(engine.ErrRefused))
		_, err := e.Resume(ctx, loan("k"))
		Expect(err).To(MatchError(engine.ErrUnknown))
		Expect(e.Listing(ctx)).To(HaveField("Slots", 3))
	})
})
