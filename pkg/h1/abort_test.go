package h1_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
)

// unacknowledged returns the number of bytes that the kernel has taken for the connection and the peer's has not.
func unacknowledged(c net.Conn) int64 {
	raw, err := c.(*net.TCPConn).SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	n := 0
	Expect(raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })).To(Succeed())
	Expect(err).NotTo(HaveOccurred())
	return int64(n)
}

var _ = Describe("a request to an upstream that reads nothing for a while", func() {
	const bodyBytes = 8 << 20 // more than the kernel's buffers take

	// send sends a request and ends its connection with end before the upstream reads on. It returns the number of bytes that
	// the kernel had taken by then, and of those that the upstream reads afterwards.
	send := func(end func(*h1.Conn)) (taken, read int64) {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = ln.Close() }()
		conn, err := h1.NewPool().Get(context.Background(), ln.Addr().String(), 0)
		Expect(err).NotTo(HaveOccurred())
		upstream, err := ln.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = upstream.Close() }()
		conn.Send(&h1.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: [][]byte{bytes.Repeat([]byte("x"), bodyBytes)}})
		one := make([]byte, 1)
		_, err = io.ReadFull(upstream, one) // the request is on its way
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { // the buffers are full
			last := taken
			taken = unacknowledged(conn.Conn)
			return taken > 64<<10 && taken == last
		}).Should(BeTrue())
		end(conn)
		_ = upstream.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, err := io.Copy(io.Discard, upstream)
		Expect(err == nil || bytes.Contains([]byte(err.Error()), []byte("reset"))).To(BeTrue(), "%v", err)
		return taken, n
	}

	// Guards against an abandoned attempt whose bytes the kernel goes on to deliver, so that it reaches its upstream long
	// after its retry.
	It("does not get the bytes that were not yet delivered when the request is abandoned", func() {
		taken, read := send(func(c *h1.Conn) { _ = c.Close() })
		Expect(read).To(BeNumerically(">=", taken), "the kernel delivers what it has taken")
		withoutAbort := read
		taken, read = send(func(c *h1.Conn) { c.Abort() })
		Expect(read).To(BeNumerically("<", withoutAbort-taken/2))
	})
})
