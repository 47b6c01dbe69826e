package h1_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
)

func TestH1(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "h1")
}

// scriptedServer answers the requests on each connection with the scripted bytes. After them it only reads until the
// client closes.
type scriptedServer struct {
	ln       net.Listener
	mu       sync.Mutex
	conns    int
	requests []string
}

func newServer(answers ...string) *scriptedServer {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &scriptedServer{ln: ln}
	DeferCleanup(func() { _ = ln.Close() }) // a spec may have closed it
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serve(c, answers)
		}
	}()
	return s
}

func (s *scriptedServer) serve(c net.Conn, answers []string) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for _, a := range answers {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		s.mu.Lock()
		s.requests = append(s.requests, req.Method+" "+req.RequestURI+" "+string(body))
		s.mu.Unlock()
		if _, err := io.WriteString(c, a); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, br)
}

func (s *scriptedServer) received() (int, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns, append([]string(nil), s.requests...)
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok"

func exchange(pool *h1.Pool, server *scriptedServer, maxAge time.Duration) (string, error) {
	c, err := pool.Get(context.Background(), server.ln.Addr().String(), maxAge)
	if err != nil {
		return "", err
	}
	c.Send(&h1.Request{Method: "POST", Target: "/a//b%2f..?x", Host: "h", Header: http.Header{}, Body: [][]byte{[]byte("hi")}})
	resp, err := c.ReadHead("POST")
	if err != nil {
		_ = c.Close()
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		_ = c.Close()
		return "", err
	}
	c.Release(resp)
	return string(body), nil
}

var _ = Describe("connections", func() {
	var pool *h1.Pool
	BeforeEach(func() { pool = h1.NewPool() })

	It("sends the target unchanged and reuses a connection", func() {
		server := newServer(okAnswer, okAnswer)
		for range 2 {
			Expect(exchange(pool, server, time.Second)).To(Equal("ok"))
		}
		conns, requests := server.received()
		Expect(conns).To(Equal(1))
		Expect(requests[0]).To(Equal("POST /a//b%2f..?x hi"))
	})

	It("reuses no connection that has been idle for longer than maxAge", func() {
		server := newServer(okAnswer, okAnswer)
		Expect(exchange(pool, server, time.Second)).To(Equal("ok"))
		Expect(exchange(pool, server, time.Nanosecond)).To(Equal("ok"))
		conns, _ := server.received()
		Expect(conns).To(Equal(2))
	})

	// Guards against a request with a small maxAge closing each older connection, which made nearly half of the
	// requests open a new one (decals, quiet-1: 397 for 808).
	It("keeps a connection that is too old for one request for others", func() {
		server := newServer(okAnswer, okAnswer)
		_, err := exchange(pool, server, time.Second)
		Expect(err).NotTo(HaveOccurred())
		_, err = exchange(pool, server, time.Nanosecond)
		Expect(err).NotTo(HaveOccurred())
		conns, _ := server.received()
		Expect(conns).To(Equal(2))
		Expect(pool.Idle()).To(Equal(2))
	})

	// Guards against descriptors that connections to upstreams use up, and against idle connections that keep the places of
	// requests.
	It("bounds the connections, and closes an idle one for a request", func() {
		pool.SetLimits(2, 2)
		server := newServer(okAnswer, okAnswer)
		Expect(exchange(pool, server, time.Second)).To(Equal("ok"))
		Expect(pool.Idle()).To(Equal(1))
		var open []*h1.Conn
		get := func() error {
			c, err := pool.Get(context.Background(), server.ln.Addr().String(), 0)
			open = append(open, c)
			return err
		}
		Expect(get()).To(Succeed())
		Expect(get()).To(Succeed())
		Expect(pool.Idle()).To(BeZero())
		Expect(get()).To(MatchError(h1.ErrTooManyConnections))
		Expect(get()).To(MatchError(h1.ErrNotConnected))
		Expect(open[0].Close()).To(Succeed())
		_ = open[0].Close() // the place is free once
		Expect(get()).To(Succeed())
		Expect(get()).To(MatchError(h1.ErrTooManyConnections))
	})

	// Guards against bytes after an answer, which belong to no request, being taken for the answer to the next request.
	It("does not reuse a connection with unread bytes", func() {
		server := newServer(okAnswer + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
		Expect(exchange(pool, server, time.Second)).To(Equal("ok"))
		Expect(exchange(pool, server, time.Second)).To(Equal("ok"))
		conns, _ := server.received()
		Expect(conns).To(Equal(2))
	})

	It("does not reuse a connection that the peer closes", func() {
		server := newServer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
		Expect(exchange(pool, server, time.Second)).To(Equal("ok"))
		Expect(exchange(pool, server, time.Second)).To(Equal("ok"))
		conns, _ := server.received()
		Expect(conns).To(Equal(2))
	})

	// Guards against a request running twice because it was sent twice.
	It("does not resend a request when no answer arrives", func() {
		server := newServer("")
		c, err := pool.Get(context.Background(), server.ln.Addr().String(), time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		c.Send(&h1.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
		_, err = c.ReadHead("GET")
		Expect(err).To(HaveOccurred())
		_, requests := server.received()
		Expect(requests).To(HaveLen(1))
		_ = c.Close()
	})

	It("reports a truncated answer", func() {
		server := newServer("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok")
		done := make(chan error, 1)
		go func() {
			c, err := pool.Get(context.Background(), server.ln.Addr().String(), time.Second)
			if err != nil {
				done <- err
				return
			}
			_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
			c.Send(&h1.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
			resp, err := c.ReadHead("GET")
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			done <- err
		}()
		Eventually(done, "2s").Should(Receive(HaveOccurred()))
	})

	It("returns ErrNotConnected if no connection was established", func() {
		server := newServer()
		_ = server.ln.Close()
		_, err := exchange(pool, server, time.Second)
		Expect(err).To(MatchError(h1.ErrNotConnected))
	})

	// Guards against the remainder of a long body being written after the next request has started: an upstream may
	// answer before it has read the body.
	It("does not reuse a connection on which the request is not written in full", func() {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, okAnswer) // without reading
			}
		}()
		for i := range 2 {
			c, err := pool.Get(context.Background(), ln.Addr().String(), time.Second)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Reused).To(BeFalse(), "connection %d", i)
			c.Send(&h1.Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: [][]byte{bytes.Repeat([]byte("x"), 32<<20)}})
			resp, err := c.ReadHead("POST")
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.ReadAll(resp.Body)
			c.Release(resp)
		}
	})

	It("closes connections past their idle timeout", func() {
		server := newServer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=1\r\n\r\nok", okAnswer)
		Expect(exchange(pool, server, time.Second)).To(Equal("ok"))
		Eventually(func() int {
			pool.Sweep()
			return pool.Idle()
		}, "2s").Should(BeZero())
	})

	It("skips informational answers", func() {
		server := newServer(strings.Replace(okAnswer, "HTTP/1.1 200", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200", 1))
		Expect(exchange(pool, server, time.Second)).To(Equal("ok"))
	})
})
