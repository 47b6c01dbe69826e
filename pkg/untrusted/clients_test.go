package untrusted_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"golang.org/x/sys/unix"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

const (
	bodyLimit = 4 << 20
	// shortBy is how many bytes before its end a body stops.
	shortBy = 32 << 10
	// commonBody is the size of the largest bodies of ordinary clients.
	commonBody = 55_000
	// crowdTimeout bounds the time in which a crowd sends. Clients whose bytes are not taken stop after it and stay open.
	crowdTimeout = 8 * time.Second
)

// client sends what makes it unwanted on a connection. An error ends it: the process has closed the connection or takes no
// more bytes.
type client func(net.Conn) error

// crowd connects clients and returns when all have sent what they can. The connections stay open until the spec ends.
func crowd(count int, address string, c client) {
	dialer := net.Dialer{Timeout: crowdTimeout, Control: smallReceiveBuffer}
	var wg sync.WaitGroup
	for range count {
		wg.Go(func() {
			conn, err := dialer.Dial("tcp4", address)
			if err != nil {
				return
			}
			DeferCleanup(func() { _ = conn.Close() })
			_ = conn.SetWriteDeadline(time.Now().Add(crowdTimeout))
			_ = c(conn)
		})
	}
	wg.Wait()
}

// smallReceiveBuffer makes the kernel hold few bytes of answers that a client does not read.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
}

// head returns the head of a request on the route of plain requests, with further header lines.
func head(method, path string, lines ...string) string { return headFor("", method, path, lines...) }

// streamHead returns the head of a request for a stream.
func streamHead(path string) string { return headFor("m0", "GET", path) }

func headFor(model, method, path string, lines ...string) string {
	h := http.Header{}
	standin.SetRequestHeader(h, "crowd", 20*time.Second, model, "")
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, standin.Host)
	_ = h.Write(&b)
	for _, line := range lines {
		b.WriteString(line + "\r\n")
	}
	return b.String() + "\r\n"
}

// sized sends the first sent bytes of a body of announced bytes in parts, with a pause between two.
func sized(start string, announced, sent, part int, pause time.Duration) client {
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, fmt.Sprintf(start, announced)); err != nil {
			return err
		}
		return sendParts(conn, bytes.Repeat([]byte("x"), part), sent/part, pause)
	}
}

// chunked sends bytes of a body in chunks and never its end.
func chunked(start string, sent, chunk int) client {
	encoded := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	perWrite := max(1, 4096/chunk)
	block := []byte(strings.Repeat(encoded, perWrite))
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, start); err != nil {
			return err
		}
		return sendParts(conn, block, sent/(chunk*perWrite), 0)
	}
}

func sendParts(conn net.Conn, part []byte, count int, pause time.Duration) error {
	for range count {
		if _, err := conn.Write(part); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}

// openHead sends size bytes of a head that does not end.
func openHead(size int) client {
	start := head("GET", "/lookup/x")
	return func(conn net.Conn) error {
		_, err := io.WriteString(conn, start[:len(start)-2]+"X-Fill: "+strings.Repeat("x", size-len(start)))
		return err
	}
}

// unread sends requests and reads one byte of the answers, which shows that they have begun.
func unread(requests string) client {
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, requests); err != nil {
			return err
		}
		_ = conn.SetReadDeadline(time.Now().Add(crowdTimeout))
		_, err := conn.Read(make([]byte, 1))
		return err
	}
}

// half sends with a for every second client and with b for the others.
func half(a, b client) client {
	var mu sync.Mutex
	n := 0
	return func(conn net.Conn) error {
		mu.Lock()
		n++
		first := n%2 == 0
		mu.Unlock()
		if first {
			return a(conn)
		}
		return b(conn)
	}
}
