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
	// streamBuffer is how many chunks a stream reads ahead of its consumer.
	streamBuffer = 16
	// maxEventBytes bounds one event; a larger one is an error.
	maxEventBytes = 1 << 20
	readBytes     = 32 << 10
)

// chunk is a part of the body, or an empty one as a sign of life, or the end.
type chunk struct {
	bytes []byte
	err   error
}

type stream struct {
	base    string
	head    engine.Head
	resp    *http.Response
	cancel  context.CancelFunc
	cut     splice
	resumed bool
	chunks  chan chunk
	closed  chan struct{}
	once    sync.Once
	silence *time.Timer
	err     error // once ended, what Next returns
}

func newStream(base string, resp *http.Response, cancel context.CancelFunc, cut splice, resumed bool) *stream {
	s := &stream{
		base: base, resp: resp, cancel: cancel, cut: cut, resumed: resumed,
		chunks: make(chan chunk, streamBuffer), closed: make(chan struct{}), silence: time.NewTimer(engine.LivenessTimeout),
	}
	s.head = headOf(resp)
	if len(cut.overlap) > 0 {
		s.head.Header = without(s.head.Header, "Content-Length")
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

func without(all []engine.Header, name string) []engine.Header {
	var out []engine.Header
	for _, h := range all {
		if h.Name != name {
			out = append(out, h)
		}
	}
	return out
}

func (s *stream) read() {
	err := s.send(chunk{bytes: s.cut.lead})
	if err == nil {
		if strings.HasPrefix(s.resp.Header.Get("Content-Type"), "text/event-stream") {
			err = s.readEvents(bufio.NewReaderSize(s.resp.Body, readBytes))
		} else {
			err = s.readWhole()
		}
	}
	_ = s.send(chunk{err: err})
}

var errClosed = errors.New("stream closed")

// send passes a chunk to the consumer, after removing the bytes that it has already.
func (s *stream) send(c chunk) error {
	if n := min(len(c.bytes), len(s.cut.overlap)); n > 0 {
		if !bytes.Equal(c.bytes[:n], s.cut.overlap[:n]) {
			return fmt.Errorf("%w: the continuation differs from the answer so far", engine.ErrUnknown)
		}
		c.bytes, s.cut.overlap = c.bytes[n:], s.cut.overlap[n:]
	}
	select {
	case s.chunks <- c:
		return nil
	case <-s.closed:
		return errClosed
	}
}

// readWhole copies a body that is not streamed. A body with neither length nor chunks ends where its connection does,
// so its end proves nothing.
func (s *stream) readWhole() error {
	buf := make([]byte, readBytes)
	for {
		n, err := s.resp.Body.Read(buf)
		if n > 0 {
			if err := s.send(chunk{bytes: bytes.Clone(buf[:n])}); err != nil {
				return err
			}
		}
		if err == io.EOF && s.resp.ContentLength < 0 && len(s.resp.TransferEncoding) == 0 {
			return fmt.Errorf("%w: answer without a length", engine.ErrUnknown)
		}
		if err == io.EOF && len(s.cut.overlap) > 0 {
			return fmt.Errorf("%w: the new answer is shorter than the answer so far", engine.ErrUnknown)
		}
		if err != nil {
			return s.classify(err)
		}
	}
}

// readEvents passes on whole events only, so that the caller's bytes end at an event when the stream breaks and
// another engine can continue. Comment lines are signs of life and are left out.
func (s *stream) readEvents(r *bufio.Reader) error {
	var event []byte
	for first := true; ; first = false {
		line, err := r.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			event = append(event, line...) // the rest of the line follows; it is no comment
			line, err = readRest(r)
		} else if err == nil && isComment(line, first && s.resumed) {
			if err := s.send(chunk{}); err != nil {
				return err
			}
			continue
		}
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return fmt.Errorf("%w: event over %d bytes", engine.ErrUnknown, maxEventBytes)
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

// finish passes on the last event and the empty line after it. The answer is whole then, however the connection ends.
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

// isComment reports a sign of life. The first line of a resumed stream may be the rest of a line, and only an empty
// comment cannot be one.
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

// classify names the cause of a broken body. The peer's process has ended if it closed the connection.
func (s *stream) classify(err error) error {
	if err == io.EOF {
		return io.EOF
	}
	class := engine.ErrUnknown
	if isClosed(err) {
		class = engine.ErrDied
	}
	return fmt.Errorf("%w: %w", class, err)
}

// Head implements engine.Stream.
func (s *stream) Head() engine.Head { return s.head }

// Next implements engine.Stream. After an error it returns the same error again.
func (s *stream) Next(ctx context.Context) ([]byte, error) {
	if s.err != nil {
		return nil, s.err
	}
	s.silence.Reset(engine.LivenessTimeout)
	for {
		select {
		case c := <-s.chunks:
			if c.err != nil {
				return nil, s.end(c.err)
			}
			if len(c.bytes) > 0 {
				return c.bytes, nil
			}
			s.silence.Reset(engine.LivenessTimeout)
		case <-s.silence.C:
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

// finishedStream is the continuation of an answer that was whole already, but for the bytes in lead.
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
