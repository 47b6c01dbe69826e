package h1

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// ErrBrokenOff is returned for the end of an unframed answer whose connection has failed.
var ErrBrokenOff = errors.New("connection failed before the end of the answer")

// IsUnframed reports whether an answer has neither a length nor chunks, so that only the end of the connection marks its
// end.
func IsUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// unframedBody is the body of an unframed answer. The kernel reports the failure of a connection once: if that is to the
// write of the request, reads see the end of a connection that the peer has closed.
type unframedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read returns ErrBrokenOff in place of io.EOF if the connection has failed.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := b.conn.write.abandon(b.conn.Conn); failure != nil {
		return n, fault.Wrap(fmt.Errorf("%w: %w", ErrBrokenOff, failure), fault.StepDispatch, b.conn.address, "read body")
	}
	return n, err
}
