package loadgen

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

// Outcomes of a request. The last four are failures of the system; a refusal that states its outcome is not a failure.
const (
	OutcomeDone      Outcome = "done"
	OutcomeNotRun    Outcome = "not-run"
	OutcomeUnknown   Outcome = "unknown"
	OutcomeInvalid   Outcome = "invalid" // 4xx without an outcome
	OutcomeTruncated Outcome = "cut"     // the answer ended early and stated no outcome
	OutcomeWrong     Outcome = "wrong"   // the answer is complete but belongs to another request
	OutcomeLate      Outcome = "late"    // neither an answer nor a refusal began before the deadline
	OutcomeDropped   Outcome = "dropped" // the connection ended without an answer
)

// IsFailure reports whether the system neither answered completely nor refused with an outcome in time.
func (o Outcome) IsFailure() bool {
	return o == OutcomeTruncated || o == OutcomeWrong || o == OutcomeLate || o == OutcomeDropped
}

// streamedAnswer is what was read of a streamed answer.
type streamedAnswer struct {
	text    strings.Builder
	done    bool    // [DONE] was received
	outcome Outcome // from the trailing event; empty if there was none
	first   time.Time
	gaps    []time.Duration
}

type completion struct {
	Choices []struct {
		Text    string           `json:"text"`
		Delta   standin.Message  `json:"delta"`
		Message *standin.Message `json:"message"`
	} `json:"choices"`
}

// readStream reads server-sent events until the end of the body. It calls onToken at each token with the time.
func readStream(r io.Reader, now func() time.Time, onToken func(time.Time)) (*streamedAnswer, error) {
	s := &streamedAnswer{}
	var last time.Time
	event := ""
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), 1<<20)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case name == "event":
			event = value
		case name == "data" && event != "":
			s.outcome = statedOutcome([]byte(value))
		case name == "data" && value == "[DONE]":
			s.done = true
		case name == "data":
			if err := s.appendToken(value); err != nil {
				return s, err
			}
			at := now()
			onToken(at)
			if s.first.IsZero() {
				s.first = at
			} else {
				s.gaps = append(s.gaps, at.Sub(last))
			}
			last = at
		case lines.Text() == "":
			event = ""
		}
	}
	return s, lines.Err()
}

func (s *streamedAnswer) appendToken(data string) error {
	var c completion
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return err
	}
	for _, choice := range c.Choices {
		s.text.WriteString(choice.Text + choice.Delta.Content)
	}
	return nil
}

// statedOutcome returns the outcome in an event or error document, or "" if there is none. The document has the member
// "outcome" at the top level or under "error", or is the bare outcome.
func statedOutcome(data []byte) Outcome {
	var doc struct {
		Outcome Outcome `json:"outcome"`
		Error   struct {
			Outcome Outcome `json:"outcome"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &doc) == nil {
		if doc.Outcome != "" {
			return doc.Outcome
		}
		return doc.Error.Outcome
	}
	switch o := Outcome(bytes.TrimSpace(data)); o {
	case OutcomeDone, OutcomeNotRun, OutcomeUnknown:
		return o
	}
	return ""
}

// classifyStream returns the outcome of a streamed answer whose body ended with err. An empty want matches any text.
func classifyStream(s *streamedAnswer, err error, want string) Outcome {
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		return OutcomeWrong
	case s.outcome == OutcomeNotRun || s.outcome == OutcomeUnknown:
		return s.outcome
	case err != nil || !s.done:
		return OutcomeTruncated
	case want != "" && s.text.String() != want:
		return OutcomeWrong
	}
	return OutcomeDone
}

// classifyUnstreamed returns the outcome of a model answer that is not streamed. An empty want matches any text.
func classifyUnstreamed(body []byte, want string) Outcome {
	var c completion
	if json.Unmarshal(body, &c) != nil || len(c.Choices) != 1 {
		return OutcomeWrong
	}
	text := c.Choices[0].Text
	if m := c.Choices[0].Message; m != nil {
		text = m.Content
	}
	if want != "" && text != want {
		return OutcomeWrong
	}
	return OutcomeDone
}

// classifyRun returns the outcome of an answer of the plain service stand-in, which repeats the key and the body sent.
func classifyRun(body []byte, key, sent string) Outcome {
	var run standin.PlainRun
	if json.Unmarshal(body, &run) != nil || run.Key != key || run.Body != sent {
		return OutcomeWrong
	}
	return OutcomeDone
}

// wantText returns the text with which engine stand-ins answer q, or "" if texts are not checked.
func (o Options) wantText(q Request) string {
	if !o.CheckText {
		return ""
	}
	return strings.Join(standin.Tokens(q.Model, completionOf(q, o.Tokens).Text(), o.Tokens), "")
}

func completionOf(q Request, tokens int) standin.Completion {
	return standin.Completion{Model: q.Model, Messages: []standin.Message{{Role: "user", Content: q.Prompt}}, Stream: q.Stream, MaxTokens: tokens}
}

func runBody(q Request) string { return fmt.Sprintf(`{"item":%q}`, q.Prompt) }
