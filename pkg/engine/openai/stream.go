package openai

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

const (
	doneMark = "[DONE]"
	doneLine = "data: " + doneMark
	// streamBuffer is the number of chunks that a stream reads ahead of its consumer.
	streamBuffer = 16
	// maxEventBytes is the maximum size of an event; a larger one is an error.
	maxEventBytes = 1 << 20
	readBytes     = 32 << 10
)

// chunk is a part of the body, a heartbeat if both fields are empty, or the end of the stream if err is set.
type chunk struct {
	bytes []byte
	err   error
}

type stream struct {
	base     string
	head     engine.Head
	resp     *http.Response
	cancel   context.CancelFunc
	splice   splice
	resumed  bool
	chunks   chan chunk
	closed   chan struct{}
	once     sync.Once
	liveness *time.Timer
	err      error // result of Next after the end of the stream
}

func newStream(base string, resp *http.Response, cancel context.CancelFunc, sp splice, resumed bool) *stream {
	s := &stream{
		base: base, resp: resp, cancel: cancel, splice: sp, resumed: resumed,
		chunks: make(chan chunk, streamBuffer), closed: make(chan struct{}), liveness: time.NewTimer(engine.LivenessTimeout),
	}
	s.head = headOf(resp)
	if len(sp.overlap) > 0 {
		s.head.Header = withoutHeader(s.head.Header, "Content-Length")
	}
	go s.read()
	return s
}

func headOf(resp *http.Response) engine.Head {
	h := engine.Head{Status: resp.StatusCode}
	for name, values := range resp.Header {
		for _, v := range values {
			h.Header = append(h.Header, engine.Header{Name: name, Value: v})
		}
	}
	sort.SliceStable(h.Header, func(i, j int) bool { return h.Header[i].Name < h.Header[j].Name })
	return h
}

func withoutHeader(all []engine.Header, name string) []engine.Header {
	var out []engine.Header
	for _, h := range all {
		if h.Name != name {
			out = append(out, h)
		}
	}
	return out
}

func (s *stream) read() {
	err := s.send(chunk{bytes: s.splice.lead})
	if err == nil {
		if strings.HasPrefix(s.resp.Header.Get("Content-Type"), "text/event-stream") {
			err = s.readEvents(bufio.NewReaderSize(s.resp.Body, readBytes))
		} else {
			err = s.readBody()
		}
	}
	_ = s.send(chunk{err: err})
}

var errClosed = errors.New("stream closed")

// send passes a chunk to the consumer without the bytes that the caller has already received.
func (s *stream) send(c chunk) error {
	if n := min(len(c.bytes), len(s.splice.overlap)); n > 0 {
		if !bytes.Equal(c.bytes[:n], s.splice.overlap[:n]) {
			return fmt.Errorf("%w: the continuation differs from the answer so far", engine.ErrUnknown)
		}
		c.bytes, s.splice.overlap = c.bytes[n:], s.splice.overlap[n:]
	}
	select {
	case s.chunks <- c:
		return nil
	case <-s.closed:
		return errClosed
	}
}

// readBody copies a body that is not streamed. A body that has no length and is not chunked ends with its connection,
// so its end does not show that it is complete.
func (s *stream) readBody() error {
	buf := make([]byte, readBytes)
	for {
		n, err := s.resp.Body.Read(buf)
		if n > 0 {
			if err := s.send(chunk{bytes: bytes.Clone(buf[:n])}); err != nil {
				return err
			}
		}
		if err == io.EOF && s.resp.ContentLength < 0 && len(s.resp.TransferEncoding) == 0 {
			return fmt.Errorf("%w: answer has no length and is not chunked", engine.ErrUnknown)
		}
		if err == io.EOF && len(s.splice.overlap) > 0 {
			return fmt.Errorf("%w: the new answer is shorter than the answer so far", engine.ErrUnknown)
		}
		if err != nil {
			return s.classify(err)
		}
	}
}

// readEvents passes on complete events only, so that after an interruption the caller's bytes end at an event and
// another engine can continue. Comment lines are heartbeats and are not passed on.
func (s *stream) readEvents(r *bufio.Reader) error {
	var event []byte
	for first := true; ; first = false {
		line, err := r.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			event = append(event, line...) // the rest of the line follows; a line this long is not a comment
			line, err = readRest(r)
		} else if err == nil && isComment(line, first && s.resumed) {
			if err := s.send(chunk{}); err != nil {
				return err
			}
			continue
		}
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return fmt.Errorf("%w: event is larger than %d bytes", engine.ErrUnknown, maxEventBytes)
		}
		if err == io.EOF {
			return fmt.Errorf("%w: stream ended without %s", engine.ErrUnknown, doneMark)
		}
		if err != nil {
			return s.classify(err)
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 && !isDone(line, first && s.resumed) {
			continue
		}
		if isDone(line, first && s.resumed) {
			return s.finish(r, event)
		}
		if err := s.send(chunk{bytes: event}); err != nil {
			return err
		}
		event = nil
	}
}

// readRest reads the rest of a line that is longer than the buffer.
func readRest(r *bufio.Reader) ([]byte, error) {
	var out []byte
	for {
		line, err := r.ReadSlice('\n')
		out = append(out, line...)
		if err != bufio.ErrBufferFull || len(out) > maxEventBytes {
			return out, err
		}
	}
}

// finish passes on the last event and the empty line after it. The answer is then complete, however the connection
// ends.
func (s *stream) finish(r *bufio.Reader, event []byte) error {
	end, err := r.ReadSlice('\n')
	if err == nil && len(bytes.TrimRight(end, "\r\n")) == 0 {
		event = append(event, end...)
	} else {
		event = append(event, '\n')
	}
	if err := s.send(chunk{bytes: event}); err != nil {
		return err
	}
	return io.EOF
}

// isComment reports whether the line is a comment, that is, a heartbeat. The first line of a resumed stream may be the
// rest of an interrupted line (partial); there, only an empty comment is unambiguous.
func isComment(line []byte, partial bool) bool {
	if partial {
		return string(line) == ":\n"
	}
	return line[0] == ':'
}

func isDone(line []byte, partial bool) bool {
	text := string(bytes.TrimRight(line, "\r\n"))
	if partial {
		return text != "" && strings.HasSuffix(doneLine, text)
	}
	return text == doneLine
}

// classify wraps the error that interrupted a body. If the peer closed the connection, its process has ended.
func (s *stream) classify(err error) error {
	if err == io.EOF {
		return io.EOF
	}
	class := engine.ErrUnknown
	if isClosedByPeer(err) {
		class = engine.ErrDied
	}
	return fmt.Errorf("%w: %w", class, err)
}

// Head implements engine.Stream.
func (s *stream) Head() engine.Head { return s.head }

// Next implements engine.Stream. After an error it returns the same error on every call.
func (s *stream) Next(ctx context.Context) ([]byte, error) {
	if s.err != nil {
		return nil, s.err
	}
	s.liveness.Reset(engine.LivenessTimeout)
	for {
		select {
		case c := <-s.chunks:
			if c.err != nil {
				return nil, s.end(c.err)
			}
			if len(c.bytes) > 0 {
				return c.bytes, nil
			}
			s.liveness.Reset(engine.LivenessTimeout)
		case <-s.liveness.C:
			return nil, s.end(engine.ErrUnresponsive)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *stream) end(err error) error {
	if err != io.EOF {
		err = fault.Wrap(err, fault.StepStream, s.base, "read stream")
	}
	s.err = err
	return err
}

// Close implements engine.Stream.
func (s *stream) Close() error {
	s.once.Do(func() { close(s.closed) })
	s.cancel()
	return s.resp.Body.Close()
}

// finishedStream is the continuation of an answer that was complete except for the bytes in lead.
type finishedStream struct{ lead []byte }

func (s *finishedStream) Head() engine.Head {
	return engine.Head{Status: http.StatusOK, Header: []engine.Header{{Name: "Content-Type", Value: "text/event-stream"}}}
}

func (s *finishedStream) Next(context.Context) ([]byte, error) {
	out := s.lead
	if s.lead = nil; len(out) == 0 {
		return nil, io.EOF
	}
	return out, nil
}

func (s *finishedStream) Close() error { return nil }
