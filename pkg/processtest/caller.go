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

// maxAnswerTime bounds one answer, from the request to its last byte.
const maxAnswerTime = 30 * time.Second

// Answer is how a request ended for its caller.
type Answer struct {
	Status int // 0 if no answer came
	// Outcome is the stated outcome, from the header or from the trailing event of a stream; empty if none.
	Outcome string
	Code    string // of a refusal
	Body    string
	Text    string // of a model's stream
	Done    bool   // [DONE] was seen
	Took    time.Duration
	Err     error
}

// Request is a request in flight.
type Request struct {
	// WantText is the text of a whole answer to a model request.
	WantText string
	events   atomic.Int64
	ended    chan struct{}
	answer   Answer // valid once ended is closed
}

// Events returns how many events of the stream have arrived.
func (r *Request) Events() int64 { return r.events.Load() }

// Ended is closed at the end of the answer.
func (r *Request) Ended() <-chan struct{} { return r.ended }

// Wait returns the answer at its end.
func (r *Request) Wait() Answer {
	<-r.ended
	return r.answer
}

// CheckComplete returns nil if the stream was answered in full.
func (r *Request) CheckComplete() error {
	switch a := r.Wait(); {
	case a.Err != nil:
		return fault.Wrap(a.Err, fault.StepStream, "", "answer cut off")
	case a.Status != http.StatusOK || a.Outcome != "done" || !a.Done:
		return fault.Newf(fault.StepStream, "", "status %d, outcome %q, end marker %t after %s: %s", a.Status, a.Outcome, a.Done, a.Took, a.Body)
	case a.Text != r.WantText:
		return fault.Newf(fault.StepStream, "", "text is %q, want %q", a.Text, r.WantText)
	}
	return nil
}

// StartStream sends a streamed chat request for a number of tokens to a router.
func StartStream(router *Node, model, prompt string, tokens int) *Request {
	in := standin.Completion{Model: model, Messages: []standin.Message{{Role: "user", Content: prompt}}, Stream: true, MaxTokens: tokens}
	body, err := json.Marshal(in)
	if err != nil {
		panic(err) // the type has only fields that encode
	}
	return begin(router, "/v1/chat/completions", body, nil, strings.Join(standin.Tokens(model, in.Text(), tokens), ""))
}

// NewKey returns an idempotency key issued now.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// Slot returns the slot of a key of the cluster's caller.
func Slot(key string) uint32 { return once.SlotOf(callerName, key) }

// StartLoan sends a loan under the key. The attempt counts the sends of the key from 1.
func StartLoan(router *Node, key string, attempt int, deadline time.Duration) *Request {
	header := http.Header{}
	header.Set(api.HeaderIdempotencyKey, key)
	header.Set(api.HeaderAttempt, fmt.Sprint(attempt))
	header.Set(api.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	return begin(router, "/services/"+serviceLoans+"/loans", []byte(`{"reader":"r1","copy":"c1"}`), header, "")
}

func begin(router *Node, path string, body []byte, header http.Header, want string) *Request {
	r := &Request{WantText: want, ended: make(chan struct{})}
	go func() {
		began := time.Now()
		r.answer = r.send("http://"+router.Addr+path, body, header)
		r.answer.Took = time.Since(began)
		close(r.ended)
	}()
	return r
}

// callers makes a connection for each request: net/http itself repeats a call with an Idempotency-Key after a reused
// connection failed.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

func (r *Request) send(url string, body []byte, header http.Header) (a Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), maxAnswerTime)
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
	resp, err := callers.Do(req)
	if err != nil {
		return Answer{Err: fault.Wrap(err, fault.StepDial, url, "send")}
	}
	defer resp.Body.Close()
	a.Status, a.Outcome = resp.StatusCode, resp.Header.Get(api.HeaderOutcome)
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.Outcome = "" // stated in the trailing event
		a.Err = r.readStream(resp.Body, &a)
		return a
	}
	b, err := io.ReadAll(resp.Body)
	a.Body, a.Err = string(b), err
	if stated := resp.Trailer.Get(api.HeaderOutcome); stated != "" {
		a.Outcome = stated
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
	_ = json.Unmarshal(body, &doc) // an answer that is no refusal has no code
	return doc.Error.Code
}

// readStream reads server-sent events into the answer until the end of the body.
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
		return errors.Join(errors.New("event is not JSON: "+value), err)
	}
	for _, c := range doc.Choices {
		a.Text += c.Delta.Content
	}
	return nil
}
