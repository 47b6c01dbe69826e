package processtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscuscross/hibiscuscross/pkg/api"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
)

// answerTimeout bounds the time from sending a request to the last byte of its answer.
const answerTimeout = 30 * time.Second

// Answer is the result of a request as its caller received it.
type Answer struct {
	Status int // 0 if no answer arrived
	// Outcome is the outcome from the header, the trailer or the last event of a stream; empty if there is none.
	Outcome string
	Code    string // code of a refusal; empty for any other answer
	Body    string
	Text    string // concatenated tokens of a model's stream
	Done    bool   // the [DONE] marker arrived
	Took    time.Duration
	Err     error
}

// Request is a request that was sent; its answer may still be in progress.
type Request struct {
	// WantText is the text of a complete answer to a model request.
	WantText string
	events   atomic.Int64
	ended    chan struct{}
	answer   Answer // valid once ended is closed
}

// Events returns the number of stream events received so far.
func (r *Request) Events() int64 { return r.events.Load() }

// Ended returns a channel that is closed when the answer has ended.
func (r *Request) Ended() <-chan struct{} { return r.ended }

// Wait waits for the end of the answer and returns it.
func (r *Request) Wait() Answer {
	<-r.ended
	return r.answer
}

// CheckComplete waits for the end of the stream and returns an error unless the answer is complete and correct.
func (r *Request) CheckComplete() error {
	switch a := r.Wait(); {
	case a.Err != nil:
		return fault.Wrap(a.Err, fault.StepStream, "", "read answer")
	case a.Status != http.StatusOK || a.Outcome != "done" || !a.Done:
		return fault.Newf(fault.StepStream, "", "answer is incomplete: status %d, outcome %q, end marker %t after %s: %s", a.Status, a.Outcome, a.Done, a.Took, a.Body)
	case a.Text != r.WantText:
		return fault.Newf(fault.StepStream, "", "answer text is %q, want %q", a.Text, r.WantText)
	}
	return nil
}

// StartStream sends a streamed chat request for the given number of tokens to a router.
func StartStream(router *Node, model, prompt string, tokens int) *Request {
	in := standin.Completion{Model: model, Messages: []standin.Message{{Role: "user", Content: prompt}}, Stream: true, MaxTokens: tokens}
	body, err := json.Marshal(in)
	if err != nil {
		panic(err) // unreachable: every field of the type can be encoded
	}
	return startRequest(router, "/v1/chat/completions", body, nil, strings.Join(standin.Tokens(model, in.Text(), tokens), ""))
}

// NewKey returns an idempotency key with the current time as its time of issue.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// Slot returns the key slot of an idempotency key of the cluster's caller.
func Slot(key string) uint32 { return once.SlotOf(callerName, key) }

// StartLoan sends a loan, a non-idempotent call, with the idempotency key. The caller's attempts with one key are
// numbered from 1.
func StartLoan(router *Node, key string, attempt int, deadline time.Duration) *Request {
	header := http.Header{}
	header.Set(api.HeaderIdempotencyKey, key)
	header.Set(api.HeaderAttempt, fmt.Sprint(attempt))
	header.Set(api.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	return startRequest(router, "/services/"+serviceLoans+"/loans", []byte(`{"reader":"r1","copy":"c1"}`), header, "")
}

func startRequest(router *Node, path string, body []byte, header http.Header, wantText string) *Request {
	r := &Request{WantText: wantText, ended: make(chan struct{})}
	go func() {
		startedAt := time.Now()
		r.answer = r.send("http://"+router.Addr+path, body, header)
		r.answer.Took = time.Since(startedAt)
		close(r.ended)
	}()
	return r
}

// callerClient opens a new connection for each request, because net/http itself retries a request that has an
// Idempotency-Key header when a reused connection fails.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

func (r *Request) send(url string, body []byte, header http.Header) (a Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: fault.Wrap(err, fault.StepDial, url, "request")}
	}
	if header != nil {
		req.Header = header
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := callerClient.Do(req)
	if err != nil {
		return Answer{Err: fault.Wrap(err, fault.StepDial, url, "send")}
	}
	defer resp.Body.Close()
	a.Status, a.Outcome = resp.StatusCode, resp.Header.Get(api.HeaderOutcome)
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.Outcome = "" // the last event of the stream contains it
		a.Err = r.readStream(resp.Body, &a)
		return a
	}
	b, err := io.ReadAll(resp.Body)
	a.Body, a.Err = string(b), err
	if outcome := resp.Trailer.Get(api.HeaderOutcome); outcome != "" {
		a.Outcome = outcome
	}
	a.Code = refusalCode(b)
	return a
}

func refusalCode(body []byte) string {
	var doc struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &doc) // an answer that is not a refusal has no code
	return doc.Error.Code
}

// readStream parses server-sent events into the answer until the end of the body.
func (r *Request) readStream(body io.Reader, a *Answer) error {
	lines, event := bufio.NewScanner(body), ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "event":
			event = value
		case name == "data" && event == api.EventOutcome:
			var doc struct{ Outcome string }
			if err := json.Unmarshal([]byte(value), &doc); err != nil {
				return err
			}
			a.Outcome, a.Code = doc.Outcome, refusalCode([]byte(value))
			if a.Outcome != "done" {
				a.Body = value
			}
		case name == "data" && value == "[DONE]":
			a.Done = true
		case name == "data":
			if err := readToken(value, a); err != nil {
				return err
			}
			r.events.Add(1)
		case lines.Text() == "":
			event = ""
		}
	}
	return lines.Err()
}

func readToken(value string, a *Answer) error {
	var doc struct {
		Choices []struct{ Delta standin.Message }
		Error   any
	}
	if err := json.Unmarshal([]byte(value), &doc); err != nil {
		return errors.Join(errors.New("stream event is not JSON: "+value), err)
	}
	for _, c := range doc.Choices {
		a.Text += c.Delta.Content
	}
	return nil
}
