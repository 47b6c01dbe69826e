package h1_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
)

// endless starts a server that writes start and then part repeatedly until the client closes the connection. It returns
// the server's address.
func endless(start, part string) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	block := []byte(strings.Repeat(part, 1+64<<10/len(part)))
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, err := io.WriteString(c, start)
				for err == nil {
					_, err = c.Write(block)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func requestHead(address string) (*h1.Conn, *http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	DeferCleanup(cancel)
	c, err := h1.NewPool().Get(ctx, address, time.Second)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() }) // most specs have closed it
	Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	c.Send(&h1.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	resp, err := c.ReadHead("GET")
	return c, resp, err
}

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a faulty upstream that sends bytes until the connection is closed exhausting memory: one such answer
// grew a router to 700 MB within three seconds, and the smallest VM of a router has 184 MB.
var _ = Describe("endless answers", func() {
	const perAnswer = 1 << 20 // bytes; 200 such answers at a time fit into the memory that the process has free

	DescribeTable("are cut off at a bound when the head is endless",
		func(start, part string, want error) {
			address := endless(start, part)
			var err error
			Expect(allocated(func() { _, _, err = requestHead(address) })).To(BeNumerically("<", perAnswer))
			Expect(err).To(MatchError(want))
		},
		Entry("a status line", "HTTP/1.1 200 ", "x", h1.ErrHeadTooLong),
		Entry("a header line", "HTTP/1.1 200 OK\r\nA: ", "x", h1.ErrHeadTooLong),
		Entry("long header lines", "HTTP/1.1 200 OK\r\n", "A: "+strings.Repeat("x", 1000)+"\r\n", h1.ErrHeadTooLong),
		Entry("short header lines", "HTTP/1.1 200 OK\r\n", "A:b\r\n", h1.ErrTooManyHeadLines),
		Entry("informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", h1.ErrTooManyInformational),
		Entry("informational answers with headers", "", "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n", h1.ErrTooManyInformational),
	)

	DescribeTable("are cut off at a bound when the framing of the body is endless",
		func(start, part string) {
			address := endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+start, part)
			_, resp, err := requestHead(address)
			Expect(err).NotTo(HaveOccurred())
			Expect(allocated(func() { _, err = io.Copy(io.Discard, resp.Body) })).To(BeNumerically("<", perAnswer))
			Expect(err).To(HaveOccurred())
		},
		Entry("a chunk extension", "2;a=", "x"),
		Entry("chunk extensions", "", "1;"+strings.Repeat("x", 2000)+"\r\nx\r\n"),
		Entry("a chunk size", "", "0"),
		Entry("a trailer", "0\r\nA: ", "x"),
		Entry("trailers", "0\r\n", "A: b\r\n"),
	)

	It("reads a head of the largest size and skips informational answers", func() {
		large := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: "
		large += strings.Repeat("x", 16<<10-len(large)-4) + "\r\n\r\n"
		server := newServer(strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 8)+large+"ok", okAnswer)
		pool := h1.NewPool()
		Expect(exchange(pool, server, time.Second)).To(Equal("ok"))
	})

	It("reports a truncated head", func() {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		go func() {
			if c, err := ln.Accept(); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nA: b") // the assertion is on the reading side
				_ = c.Close()
			}
		}()
		_, _, err = requestHead(ln.Addr().String())
		Expect(err).To(HaveOccurred())
	})
})
