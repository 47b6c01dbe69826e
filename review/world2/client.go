//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client has got: complete reports whether the answer ended as its framing says.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
	took     time.Duration
}

// clientRequest is a request of a client.
type clientRequest struct {
	method, path, id string
	deadline         time.Duration
	header           map[string]string
	body             string
	// kept reports whether the request is the second one on its connection. The first one is to a route that never existed.
	kept bool
}

// call sends the request, as the platform forwards it to the entry, and reads the answer.
func call(front string, q clientRequest) (a answer) {
	c, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	if q.kept {
		first := exchange(c, br, clientRequest{method: http.MethodGet, path: "/none/2f", id: q.id + "0", deadline: q.deadline})
		if first.status != http.StatusNotFound || !first.complete {
			return answer{err: fmt.Errorf("first request on the connection: status %d, %w", first.status, first.err)}
		}
	}
	return exchange(c, br, q)
}

// exchange sends a request on the connection and reads its answer.
func exchange(c net.Conn, br *bufio.Reader, q clientRequest) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	_ = c.SetDeadline(began.Add(q.deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\n%s: %s\r\n%s: %d\r\n", q.method, q.path, headers.ID, q.id, headers.Deadline, q.deadline.Milliseconds())
	for name, value := range q.header {
		head += name + ": " + value + "\r\n"
	}
	if q.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err := io.WriteString(c, head+"\r\n"+q.body); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: body, complete: err == nil, err: err}
}
