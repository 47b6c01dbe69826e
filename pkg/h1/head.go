package h1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

const (
	// maxHeadBytes bounds the head of an answer in bytes, the status line included. It is the size of a connection's
	// read buffer, so an endless head takes no further memory.
	maxHeadBytes = 16 << 10
	// maxHeadLines bounds the lines of a head, each of which takes some hundred bytes once it is parsed.
	maxHeadLines = 128
	// maxQuotedName bounds the bytes of a malformed name that an error quotes.
	maxQuotedName = 64
	// maxInformational bounds the informational answers (1xx) before the final one.
	maxInformational = 8
)

// Errors for heads that exceed a bound. The connection cannot be reused.
var (
	ErrHeadTooLong          = errors.New("head of the answer is too long")
	ErrTooManyHeadLines     = errors.New("head of the answer has too many lines")
	ErrTooManyInformational = errors.New("too many informational answers")
)

// ErrStatus is returned for an answer whose status is not that of a final answer. What follows its head is unknown: a body,
// another answer or neither. The connection cannot be reused.
var ErrStatus = errors.New("status is not that of a final answer")

// ErrFieldName is returned for an answer in whose head the name of a field is malformed. The field may be one that frames
// the body, so the end of the answer is unknown. The connection cannot be reused.
var ErrFieldName = errors.New("name of a field is malformed")

// checkFieldName checks the name in a line of a head. A line that continues the one before has none: no upstream may send
// it, and its name would be overlooked.
func checkFieldName(line []byte) error {
	name, _, _ := bytes.Cut(line, []byte(":"))
	if !httpguts.ValidHeaderFieldName(string(name)) {
		return fmt.Errorf("%w: %q", ErrFieldName, name[:min(len(name), maxQuotedName)])
	}
	return nil
}

// checkStatus checks the status of an answer that is not informational. Requests ask for no other protocol, so 101 answers
// none.
func checkStatus(status int) error {
	if status < 200 || status > 599 {
		return fmt.Errorf("%w: %03d", ErrStatus, status)
	}
	return nil
}

// isInformational reports whether a final answer follows one with the status.
func isInformational(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// ReadHead reads the head of the answer to a request with the method. It skips informational answers. Reading the body of
// an unframed answer fails with ErrBrokenOff if the connection has failed.
func (c *Conn) ReadHead(method string) (*http.Response, error) {
	for range maxInformational + 1 {
		if err := c.bufferHead(); err != nil {
			return nil, fault.Wrap(err, fault.StepDispatch, c.address, "read head")
		}
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, fault.Wrap(err, fault.StepDispatch, c.address, "read head")
		}
		if isInformational(resp.StatusCode) {
			continue
		}
		if err := checkStatus(resp.StatusCode); err != nil {
			return nil, fault.Wrap(err, fault.StepDispatch, c.address, "read head")
		}
		if IsUnframed(resp) && resp.Body != http.NoBody {
			resp.Body = &unframedBody{ReadCloser: resp.Body, conn: c}
		}
		return resp, nil
	}
	return nil, fault.Wrap(ErrTooManyInformational, fault.StepDispatch, c.address, "read head")
}

// bufferHead reads until the buffer contains a complete head, and checks its lines. It also returns nil if the read fails
// before that: the parser then meets the same error.
func (c *Conn) bufferHead() error {
	for scanned, lines := 0, 0; ; {
		buffered, _ := c.br.Peek(c.br.Buffered())
		for {
			i := bytes.IndexByte(buffered[scanned:], '\n')
			if i < 0 {
				break
			}
			line := bytes.TrimRight(buffered[scanned:scanned+i], "\r")
			scanned += i + 1
			if len(line) == 0 {
				return nil
			}
			if lines > 0 { // the first one has the status
				if err := checkFieldName(line); err != nil {
					return err
				}
			}
			if lines++; lines > maxHeadLines {
				return ErrTooManyHeadLines
			}
		}
		if len(buffered) >= maxHeadBytes {
			return ErrHeadTooLong
		}
		if _, err := c.br.Peek(len(buffered) + 1); err != nil {
			return nil // the parser meets the same error after the buffered bytes
		}
	}
}
