package h1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/h1"
)

// Guards against bytes that belong to no request being taken for the next answer, or a closed connection being used,
// because they arrive just before the connection is taken from the pool: the watching goroutine has not yet run then. On
// a VM that goes on after it stood still, that is so for all that has arrived meanwhile.
var _ = Describe("an idle connection", func() {
	const rounds = 300
	// reused returns how often a connection is reused right after the peer has acted on it.
	reused := func(act func(peer net.Conn)) int {
		n := 0
		for range rounds {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			peers := make(chan net.Conn, 1)
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, okAnswer)
				}
				peers <- c
				if c, err = ln.Accept(); err == nil {
					_ = c.Close()
				}
			}()
			pool := h1.NewPool()
			c, err := pool.Get(context.Background(), ln.Addr().String(), time.Second)
			Expect(err).NotTo(HaveOccurred())
			c.Send(&h1.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
			resp, err := c.ReadHead("GET")
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, resp.Body)
			c.Release(resp)
			peer := <-peers
			act(peer)
			c, err = pool.Get(context.Background(), ln.Addr().String(), time.Second)
			Expect(err).NotTo(HaveOccurred())
			if c.Reused {
				n++
			}
			_ = c.Close()
			_ = peer.Close()
			_ = ln.Close()
		}
		return n
	}

	It("is not reused if bytes have just arrived on it", func() {
		Expect(reused(func(peer net.Conn) { _, _ = io.WriteString(peer, okAnswer) })).To(BeZero())
	})

	It("is not reused if the peer has just closed it", func() {
		Expect(reused(func(peer net.Conn) { _ = peer.Close() })).To(BeZero())
	})

	It("is reused if nothing has arrived on it", func() {
		Expect(reused(func(net.Conn) {})).To(Equal(rounds))
	})
})
