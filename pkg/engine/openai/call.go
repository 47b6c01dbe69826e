package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

type textHeader = textproto.MIMEHeader

// Start posts the call to its path. If c.Prefix is set, the engine continues an answer that another engine began:
// Prefix is the body so far, or for a streamed answer optionally its bare text, and the returned stream has only the
// bytes that follow. An answer that is not streamed is generated again and must begin with the same bytes. The errors
// are engine.ErrNotStarted, ErrRefused (without effect: target not loaded, id in use, engine busy), ErrUnresponsive,
// ErrDied and ErrUnknown.
func (e *Engine) Start(ctx context.Context, c engine.Call) (engine.Stream, error) {
	sp := splice{}
	if len(c.Prefix) > 0 {
		var err error
		if c.Body, sp, err = continuation(c.Body, c.Prefix); err != nil {
			return nil, fault.Wrap(fmt.Errorf("%w: %w", engine.ErrNotStarted, err), fault.StepDispatch, e.base, "continue answer")
		}
		if sp.done {
			return &finishedStream{lead: sp.lead}, nil
		}
	}
	resp, cancel, err := e.open(ctx, c, false)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepDispatch, e.base, "start call")
	}
	if err := refusalError(resp); err != nil {
		cancel()
		return nil, fault.Wrap(err, fault.StepDispatch, e.base, "start call")
	}
	return newStream(e.base, resp, cancel, sp, false), nil
}

// Resume continues the call at c.Offset on a new connection. It returns engine.ErrUnknown if the engine no longer has
// the call.
func (e *Engine) Resume(ctx context.Context, c engine.Call) (engine.Stream, error) {
	resp, cancel, err := e.open(ctx, c, true)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepDispatch, e.base, "resume call")
	}
	if resp.StatusCode == http.StatusNotFound {
		err := fmt.Errorf("%w: %s", engine.ErrUnknown, errorCode(resp))
		cancel()
		return nil, fault.Wrap(err, fault.StepDispatch, e.base, "resume call")
	}
	return newStream(e.base, resp, cancel, splice{}, c.Offset > 0), nil
}

func (e *Engine) open(ctx context.Context, c engine.Call, resume bool) (*http.Response, context.CancelFunc, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, e.base+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", engine.ErrNotStarted, err)
	}
	for _, h := range c.Header {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(HeaderRequest, c.RequestID)
	req.Header.Set(HeaderPriority, fmt.Sprint(c.Priority))
	req.Header.Del(HeaderOffset)
	if resume {
		req.Header.Set(HeaderOffset, fmt.Sprint(c.Offset))
	}
	if c.Traceparent != "" {
		req.Header.Set("Traceparent", c.Traceparent)
	}
	return e.exchange(req)
}

// refusalError returns engine.ErrRefused if the answer states that the engine did not start the call.
func refusalError(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %s %s", engine.ErrRefused, resp.Status, errorCode(resp))
	case http.StatusNotFound:
		body, code := peekError(resp)
		if code == CodeNotLoaded {
			return fmt.Errorf("%w: %s", engine.ErrRefused, code)
		}
		resp.Body = body
	}
	return nil
}

func errorCode(resp *http.Response) string {
	_, code := peekError(resp)
	return code
}

// maxErrorBytes is the maximum number of bytes of an error document that are parsed.
const maxErrorBytes = 64 << 10

// peekError returns the code in an error document and a body from which the document can be read again.
func peekError(resp *http.Response) (io.ReadCloser, string) {
	var doc struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	start, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	_ = json.Unmarshal(start, &doc)
	rest := io.Reader(resp.Body)
	if err != nil {
		rest = failedReader{err}
	}
	return bodyParts{io.MultiReader(bytes.NewReader(start), rest), resp.Body}, doc.Error.Code
}

type failedReader struct{ err error }

func (f failedReader) Read([]byte) (int, error) { return 0, f.err }

type bodyParts struct {
	io.Reader
	io.Closer
}

// splice describes how a continuation joins the bytes that the caller has received.
type splice struct {
	// overlap is the part that the caller has received and with which the new answer must begin.
	overlap []byte
	// lead completes the last event and is sent before the new answer.
	lead []byte
	// done reports whether the caller has received the complete answer.
	done bool
}

// continuation returns the request body that makes another engine continue after prefix.
func continuation(body, prefix []byte) ([]byte, splice, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, splice{}, err
	}
	if string(fields["stream"]) != "true" {
		return body, splice{overlap: prefix}, nil
	}
	text, sp := Text(prefix)
	encoded, err := json.Marshal(text)
	if err != nil {
		return nil, splice{}, err
	}
	fields["continue_from"] = encoded
	out, err := json.Marshal(fields)
	return out, sp, err
}

// Text returns the text of the complete events in the first part of a streamed body, and how another engine's stream
// joins it. A prefix that does not consist of events is returned as the text.
func Text(prefix []byte) (string, splice) {
	const field = "data: "
	if n := min(len(prefix), len(field)); string(prefix[:n]) != field[:n] {
		return string(prefix), splice{}
	}
	var text strings.Builder
	rest := prefix
	for {
		line, after, found := bytes.Cut(rest, []byte("\n"))
		if !found {
			break
		}
		token, done, ok := eventText(line)
		if !ok {
			return string(prefix), splice{}
		}
		if done {
			return text.String(), splice{done: true, lead: []byte("\n")[min(1, len(after)):]}
		}
		text.WriteString(token)
		if len(line) > 0 && len(after) == 0 {
			return text.String(), splice{lead: []byte("\n")}
		}
		rest = after
	}
	if n := min(len(rest), len(field)); string(rest[:n]) != field[:n] {
		return string(prefix), splice{}
	}
	return text.String(), splice{overlap: rest}
}

// eventText returns the text in one line of a streamed body. Done reports the line that ends the answer. Ok is false
// for a line that is neither empty nor a well-formed data line.
func eventText(line []byte) (text string, done, ok bool) {
	line = bytes.TrimSuffix(line, []byte("\r"))
	if len(line) == 0 {
		return "", false, true
	}
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return "", false, false
	}
	if data = bytes.TrimSpace(data); string(data) == doneMark {
		return "", true, true
	}
	var doc struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &doc) != nil {
		return "", false, false
	}
	for _, c := range doc.Choices {
		text += c.Text + c.Delta.Content
	}
	return text, false, true
}
