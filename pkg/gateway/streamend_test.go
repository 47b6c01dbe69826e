package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// steps is an upstream whose streams have neither a length nor chunks. It closes the connection behind the events that it
// writes, and answers queries for its report on other connections until its listener closes.
type steps struct {
	ln net.Listener
	// write writes the events of a stream that goes on after the event with the id last.
	write func(c net.Conn, req *http.Request, last string)
	// report returns the reply to a query, given the time since the end of the last stream.
	report func(sinceEnd time.Duration) string
	// ended is when the last stream ended in Unix nanoseconds.
	ended atomic.Int64
}

const stepsStartedUnixMS = 5

// add adds the upstream to the fleet and starts it.
func (s *steps) add(r *rig, id string) {
	var err error
	s.ln, err = net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = s.ln.Close() })
	r.core.Update(func(st *dispatch.State) {
		st.Fleet.Put(time.Now(), catalog.Upstream{ID: id, Service: "llm", Address: s.ln.Addr().String(), Zone: "z1", Slots: 8,
			StartedUnixMS: stepsStartedUnixMS, Models: residentM})
	})
	go func() {
		for {
			c, err := s.ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
}

func (s *steps) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if req.URL.Path != standin.ReportPath {
			_, _ = io.WriteString(c, standin.StreamHead(standin.RequestID(req.Header), "stamp"))
			s.write(c, req, req.Header.Get("Last-Event-Id"))
			s.ended.Store(time.Now().UnixNano())
			return
		}
		reply := standin.ReportReply(stepsStartedUnixMS)
		if s.report != nil {
			reply = s.report(time.Since(time.Unix(0, s.ended.Load())))
		}
		if _, err := io.WriteString(c, reply); err != nil {
			return
		}
	}
}

// endAfter makes the upstream close its listener the duration after now.
func (s *steps) endAfter(d time.Duration) { time.AfterFunc(d, func() { _ = s.ln.Close() }) }

// callUntil returns the error with which a caller that sets the time reads a stream.
func callUntil(r *rig, timeout time.Duration) error {
	req, err := http.NewRequest(http.MethodPost, r.front.URL+"/once/a", nil)
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h"
	standin.SetRequestHeader(req.Header, "r1", timeout, "m", "")
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return err
}

// Guards against streams that end behind an event because their upstream is ending, although it still answers queries.
var _ = Describe("the end of an unframed stream", func() {
	var r *rig
	BeforeEach(func() {
		r = newRig()
		r.configure()
	})
	begin := func(c net.Conn, _ *http.Request, _ string) { _, _ = io.WriteString(c, event(1)+event(2)) }

	DescribeTable("is no completion if the upstream closes its listener",
		func(after time.Duration) {
			u := &steps{}
			u.write = func(c net.Conn, req *http.Request, last string) {
				begin(c, req, last)
				u.endAfter(after)
			}
			u.add(r, "u1")
			_, body, err := r.call(http.MethodPost, "/once/a")
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			Expect(body).To(Equal(event(1) + event(2)))
		},
		Entry("20 ms later", 20*time.Millisecond),
		Entry("100 ms later", 100*time.Millisecond),
		Entry("200 ms later", 200*time.Millisecond),
	)

	It("lets a resumable stream go on elsewhere if the upstream closes its listener 100 ms later", func() {
		var first atomic.Pointer[steps]
		for _, id := range []string{"u1", "u2"} {
			u := &steps{}
			u.write = func(c net.Conn, req *http.Request, last string) {
				if last == "2" {
					_, _ = io.WriteString(c, event(3)+event(4))
					return
				}
				begin(c, req, last)
				if first.CompareAndSwap(nil, u) {
					u.endAfter(100 * time.Millisecond)
				}
			}
			u.add(r, id)
		}
		_, body, err := r.call(http.MethodPost, "/stream/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2) + event(3) + event(4)))
	})

	// Guards against an upstream that ends its streams well before its process, at the end of its notice.
	It("is no completion if the upstream is removed at short notice and has hardly any time left", func() {
		u := &steps{write: begin, report: func(sinceEnd time.Duration) string {
			return standin.LeavingReportReply(stepsStartedUnixMS, max(0, 450*time.Millisecond-sinceEnd))
		}}
		u.add(r, "u1")
		_, _, err := r.call(http.MethodPost, "/once/a")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("is a completion if the upstream is removed at short notice and has time left", func() {
		u := &steps{write: begin, report: func(sinceEnd time.Duration) string {
			return standin.LeavingReportReply(stepsStartedUnixMS, 10*time.Second-sinceEnd)
		}}
		u.add(r, "u1")
		_, body, err := r.call(http.MethodPost, "/once/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2)))
	})

	// Guards against a device on the path that ends the connection regularly while the upstream goes on with the run. The
	// report is some hundred milliseconds old.
	It("is no completion if the upstream has generated more events than have arrived", func() {
		u := &steps{write: begin, report: func(sinceEnd time.Duration) string {
			return standin.RunReportReply(stepsStartedUnixMS, "r1", 2+int(max(0, sinceEnd-150*time.Millisecond)/(20*time.Millisecond)))
		}}
		u.add(r, "u1")
		_, _, err := r.call(http.MethodPost, "/once/a")
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	// Guards against breaking off complete streams, which an old report still lists.
	It("is a completion if the report lists the run with the events that have arrived", func() {
		u := &steps{write: begin, report: func(time.Duration) string {
			return standin.RunReportReply(stepsStartedUnixMS, "r1", 2)
		}}
		u.add(r, "u1")
		_, _, err := r.call(http.MethodPost, "/once/a")
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against an upstream that stops work at the time which the router passed on: it closes the connection just
	// before the router's own timer, and lives.
	It("is no completion if it comes at the deadline", func() {
		u := &steps{write: func(c net.Conn, req *http.Request, _ string) {
			arrived := time.Now()
			_, _ = io.WriteString(c, event(1))
			time.Sleep(standin.Deadline(req.Header) - time.Since(arrived) - 5*time.Millisecond)
		}}
		u.add(r, "u1")
		Expect(callUntil(r, 500*time.Millisecond)).To(MatchError(io.ErrUnexpectedEOF))
	})

	// Guards against cut streams that look complete, where the proof is shortened so that complete ones end in time.
	DescribeTable("is no completion shortly before the deadline if the upstream closes its listener",
		func(leaving bool, after time.Duration) {
			u := &steps{}
			u.write = func(c net.Conn, req *http.Request, _ string) {
				arrived := time.Now()
				_, _ = io.WriteString(c, event(1))
				time.Sleep(standin.Deadline(req.Header) - time.Since(arrived) - 200*time.Millisecond)
				if leaving {
					r.core.Update(func(s *dispatch.State) { s.Fleet.RecordLeaving("u1") })
				}
				u.endAfter(after)
			}
			u.add(r, "u1")
			Expect(callUntil(r, 500*time.Millisecond)).To(MatchError(io.ErrUnexpectedEOF))
		},
		Entry("20 ms later", false, 20*time.Millisecond),
		Entry("200 ms later and is leaving", true, 200*time.Millisecond),
	)

	// Guards against a query that fails being taken for a reply of the instance.
	DescribeTable("is no completion if the reply to the query is",
		func(reply string) {
			u := &steps{write: begin, report: func(time.Duration) string { return reply }}
			u.add(r, "u1")
			_, _, err := r.call(http.MethodPost, "/once/a")
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		},
		Entry("an error", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"),
		Entry("that of another instance", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"),
		Entry("no report", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
		Entry("no HTTP", "ok\r\n\r\n"),
		Entry("empty", ""),
	)

	// Guards against breaking off complete streams: an answer that is lost so costs its caller all of it.
	It("is a completion for each of many streams beside load", func() {
		u := &steps{write: begin}
		u.add(r, "u1")
		var stop atomic.Bool
		defer stop.Store(true)
		for range 2 {
			go func() {
				for !stop.Load() { // keeps a processor busy
				}
			}()
		}
		var broken atomic.Int32
		var wg sync.WaitGroup
		for range 20 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer GinkgoRecover()
				for range 10 {
					if _, body, err := r.call(http.MethodPost, "/once/a"); err != nil || body != event(1)+event(2) {
						broken.Add(1)
					}
				}
			}()
		}
		wg.Wait()
		Expect(broken.Load()).To(BeZero())
	})
})

var _ = Describe("a stream that is open", func() {
	var (
		r    *rig
		runs atomic.Int32
	)
	BeforeEach(func() {
		r = newRig()
		r.configure()
		runs.Store(0)
		for _, id := range []string{"u1", "u2"} {
			r.upstream(id, "llm", residentM, func(w http.ResponseWriter, req *http.Request) {
				runs.Add(1)
				sign(w, req)
				for i := 1; i < 400 && req.Context().Err() == nil; i++ {
					_, _ = io.WriteString(w, event(i))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	})
	open := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp4", r.front.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() }) // the spec may have closed it
		req, err := http.NewRequest(http.MethodPost, "/stream/a", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h"
		standin.SetRequestHeader(req.Header, "r1", 0, "m", "")
		Expect(req.Write(c)).To(Succeed())
		br := bufio.NewReader(c)
		_, err = br.ReadString(':')
		Expect(err).NotTo(HaveOccurred())
		return c, br
	}

	It("is visibly incomplete when the process stops", func() {
		c, br := open()
		r.gw.FinishRequests()
		rest, err := io.ReadAll(br)
		Expect(err).NotTo(HaveOccurred()) // the connection is closed
		Expect(string(rest)).NotTo(HaveSuffix("\r\n0\r\n\r\n"))
		_ = c.Close()
		Expect(runs.Load()).To(Equal(int32(1)))
	})

	// Guards against a second run for a caller to whom a part of an event has been written.
	It("is not resumed after a write to its caller has failed", func() {
		c, _ := open()
		Expect(c.(*net.TCPConn).SetLinger(0)).To(Succeed())
		Expect(c.Close()).To(Succeed())
		Consistently(runs.Load, "300ms").Should(Equal(int32(1)))
	})
})
