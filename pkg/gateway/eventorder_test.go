package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

const secondHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

// Guards against streams with a missing, repeated or foreign piece: a faulty upstream sends bytes of another answer.
var _ = Describe("the events of a stream", func() {
	var (
		r    *rig
		runs atomic.Int32
	)
	BeforeEach(func() {
		r = newRig()
		r.configure()
		runs.Store(0)
	})
	// serve adds two upstreams; the first run of the two is answered with first, and broken off behind it if broken is
	// set, any later one with second.
	serve := func(first string, broken bool, second string) {
		for _, id := range []string{"u1", "u2"} {
			r.upstream(id, "llm", residentM, func(w http.ResponseWriter, req *http.Request) {
				n := runs.Add(1)
				sign(w, req)
				if n > 1 {
					_, _ = io.WriteString(w, second)
					return
				}
				_, _ = io.WriteString(w, first)
				if broken {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			})
		}
	}

	DescribeTable("are broken off within a run before",
		func(valid, rest string) {
			serve(valid+rest, false, "")
			_, body, err := r.call(http.MethodPost, "/once/a")
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			Expect(body).To(Equal(valid))
		},
		Entry("an id that repeats", event(1)+event(2), event(2)+event(3)),
		Entry("ids that go back", event(1)+event(2)+event(3), event(1)+event(2)),
		Entry("an id that jumps", event(1)+event(2)+event(3), event(7)),
		Entry("an event without an id", event(1)+event(2), "data: x\n\n"+event(3)),
		Entry("an id that is no number", event(1)+event(2), "id: x\ndata: x\n\n"),
		Entry("the head of another answer", event(1)+event(2), secondHead+event(3)),
		Entry("an event with two ids", event(1)+event(2), "id: 3\ndata: x\nid: 4\ndata: y\n\n"),
	)

	DescribeTable("are broken off in a resumed run before",
		func(valid, rest string) {
			serve(event(1)+event(2), true, valid+rest)
			_, body, err := r.call(http.MethodPost, "/stream/a")
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			Expect(body).To(Equal(event(1) + event(2) + valid))
		},
		Entry("a gap", "", event(4)),
		Entry("an event without an id", "", "data: x\n\n"),
		Entry("ids that go back", event(3), event(2)+event(4)),
	)

	It("resume at an upstream that repeats the earlier ones", func() {
		serve(event(1)+event(2), true, event(1)+event(2)+event(3))
		_, body, err := r.call(http.MethodPost, "/stream/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2) + event(3)))
	})

	It("resume at another upstream instead of going on with a gap", func() {
		serve(event(1)+event(2)+event(4), false, event(3)+event(4))
		_, body, err := r.call(http.MethodPost, "/stream/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2) + event(3) + event(4)))
	})

	// Guards against a second run from the beginning behind a part of the first.
	It("are not resumed behind an event without an id", func() {
		serve("data: a\n\n", true, "data: a\n\ndata: b\n\n")
		_, body, err := r.call(http.MethodPost, "/stream/a")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(body).To(Equal("data: a\n\n"))
		Expect(runs.Load()).To(Equal(int32(1)))
	})

	// Guards against the end of a resumed stream before an event of which a part has arrived.
	It("are not complete without one that had begun to arrive", func() {
		serve(event(1)+event(2)+"id: 3\nda", true, "")
		_, body, err := r.call(http.MethodPost, "/stream/a")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(body).To(Equal(event(1) + event(2)))
	})

	It("are complete if the upstream that resumes them has no further ones", func() {
		serve(event(1)+event(2), true, "")
		_, body, err := r.call(http.MethodPost, "/stream/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2)))
	})

	It("pass with comments between them and without ids if none has one", func() {
		const events = ": ping\n\ndata: a\n\n: ping\n\ndata: b\n\n"
		serve(events, false, "")
		_, body, err := r.call(http.MethodPost, "/once/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(events))
	})

	It("pass at any size up to the largest", func() {
		want := strings.Builder{}
		for i, size := range []int{8100, 8180, 8192, 8193, 16384, 60000} { // around the reader's buffer
			want.WriteString(strings.TrimSuffix(event(i+1), "\n\n") + strings.Repeat("x", size) + "\n\n")
		}
		serve(want.String(), false, "")
		_, body, err := r.call(http.MethodPost, "/once/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(body == want.String()).To(BeTrue())
	})

	// resumeAfter sends a request for a stream that goes on behind the event with the id.
	resumeAfter := func(path, id string) (string, error) {
		req, err := http.NewRequest(http.MethodPost, r.front.URL+path, nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h"
		standin.SetRequestHeader(req.Header, "r1", 0, "m", "")
		req.Header.Set("Last-Event-Id", id)
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}

	// Guards against pieces that come twice because the caller's own id was not compared.
	It("do not repeat those that the caller has", func() {
		serve(event(1)+event(2)+event(3), false, "")
		body, err := resumeAfter("/stream/a", "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(3)))
	})

	It("leave no gap behind those that the caller has", func() {
		serve(event(5), false, event(3)+event(4))
		body, err := resumeAfter("/stream/a", "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(3) + event(4)))
	})
})
