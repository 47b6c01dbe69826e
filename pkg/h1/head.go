package h1

import (
	"bytes"
	"errors"
	"net/http"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

const (
	// maxHead bounds the head of an answer in bytes, the status line included. It is the size of a connection's read buffer,
	// so an upstream that sends a head without end takes no further memory.
	maxHead = 16 << 10
	// maxHeadLines bounds the lines of a head: each takes some hundred bytes once it is parsed.
	maxHeadLines = 128
	// maxInformational bounds the informational answers (1xx) before the final one.
	maxInformational = 8
)

// Errors of heads that exceed a bound. The connection cannot be used again.
var (
	ErrHeadTooLong          = errors.New("head of the answer is too long")
	ErrTooManyHeadLines     = errors.New("head of the answer has too many lines")
	ErrTooManyInformational = errors.New("too many informational answers")
)

// ReadHead reads the head of the answer to a request with the method. Informational answers are passed over.
func (c *Conn) ReadHead(method string) (*http.Response, error) {
	for range maxInformational + 1 {
		if err := c.awaitHead(); err != nil {
			return nil, fault.Wrap(err, fault.StepDispatch, c.address, "read head")
		}
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, fault.Wrap(err, fault.StepDispatch, c.address, "read head")
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, fault.Wrap(ErrTooManyInformational, fault.StepDispatch, c.address, "read head")
}

// awaitHead reads until the buffer holds a whole head. It returns nil too if the connection ends before: the parser then
// reports what is missing.
func (c *Conn) awaitHead() error {
	for scanned, lines := 0, 0; ; {
		held, _ := c.br.Peek(c.br.Buffered())
		for {
			i := bytes.IndexByte(held[scanned:], '\n')
			if i < 0 {
				break
			}
			line := bytes.TrimRight(held[scanned:scanned+i], "\r")
			scanned += i + 1
			if len(line) == 0 {
				return nil
			}
			if lines++; lines > maxHeadLines {
				return ErrTooManyHeadLines
			}
		}
		if len(held) >= maxHead {
			return ErrHeadTooLong
		}
		if _, err := c.br.Peek(len(held) + 1); err != nil {
			return nil // the parser meets the same error after the bytes that are there
		}
	}
}
