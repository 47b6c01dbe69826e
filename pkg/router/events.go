package router

import (
	"bytes"
	"encoding/json"
)

// doneEvent is the end mark of an OpenAI-style stream.
var doneEvent = []byte("data: [DONE]\n\n")

var (
	dataField = []byte("data:")
	doneValue = []byte("[DONE]")
)

// doneMark returns the index of the end mark's event in b, or -1. Raw line ends do not occur inside JSON strings.
func doneMark(b []byte) int {
	i := bytes.Index(b, doneValue)
	if i < 0 {
		return -1
	}
	start := bytes.LastIndexByte(b[:i], '\n') + 1
	if bytes.Equal(bytes.TrimSpace(b[start:i]), dataField) {
		return start
	}
	return -1
}

// chunk is the part of a streamed chunk of chat.completions or completions that a continuation needs.
type chunk struct {
	ID      string   `json:"id"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	Delta struct {
		Content   string          `json:"content"`
		ToolCalls json.RawMessage `json:"tool_calls"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// dataOf calls f with the value of each data field in the events. It stops when f returns false.
func dataOf(events []byte, f func(value []byte) bool) {
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, dataField); ok && !f(bytes.TrimSpace(value)) {
			return
		}
	}
}

// textOf returns the text in the events and whether the model has finished it. Ok is false if another upstream cannot
// continue the text from a prefix: several choices, tool calls, or events of another shape.
func textOf(events []byte) (text []byte, finished, ok bool) {
	ok = true
	dataOf(events, func(value []byte) bool {
		var c chunk
		if json.Unmarshal(value, &c) != nil {
			ok = false
			return false
		}
		for _, x := range c.Choices {
			if x.Index != 0 || len(x.Delta.ToolCalls) > 0 {
				ok = false
				return false
			}
			text = append(append(text, x.Text...), x.Delta.Content...)
			finished = finished || x.FinishReason != nil && *x.FinishReason != ""
		}
		return true
	})
	return text, finished, ok
}

// prefixOf returns the text in a form that engines cannot take for the start of events, which they accept as well: the
// bare text, or the events if the text begins like one.
func prefixOf(text, events []byte) []byte {
	first := bytes.TrimLeft(text, "\r\n")
	if len(text) > 0 && (bytes.HasPrefix([]byte("data: "), first[:min(len(first), len("data: "))]) || bytes.HasPrefix(first, dataField)) {
		return events
	}
	return text
}

// rewriter makes the events of an upstream that continues an answer look like those of the first one.
type rewriter struct{ id, created json.RawMessage }

func newRewriter(kept []byte) *rewriter {
	r := &rewriter{}
	dataOf(kept, func(value []byte) bool {
		var m map[string]json.RawMessage
		if json.Unmarshal(value, &m) == nil {
			r.id, r.created = m["id"], m["created"]
		}
		return false
	})
	return r
}

// events returns the events with the first upstream's id and time, without the ones that only open the answer again.
func (r *rewriter) events(b []byte) []byte {
	var out []byte
	dataOf(b, func(value []byte) bool {
		var m map[string]json.RawMessage
		var c chunk
		if json.Unmarshal(value, &m) != nil || json.Unmarshal(value, &c) != nil {
			out = append(append(append(out, "data: "...), value...), eventEnd...)
			return true
		}
		if opensOnly(c, m) {
			return true
		}
		for name, v := range map[string]json.RawMessage{"id": r.id, "created": r.created} {
			if v != nil {
				m[name] = v
			} else {
				delete(m, name)
			}
		}
		value, _ = json.Marshal(m) // a map of valid JSON encodes
		out = append(append(append(out, "data: "...), value...), eventEnd...)
		return true
	})
	return out
}

// opensOnly reports whether a chunk has neither text nor an end nor usage.
func opensOnly(c chunk, m map[string]json.RawMessage) bool {
	if u, ok := m["usage"]; ok && string(u) != "null" {
		return false
	}
	for _, x := range c.Choices {
		if x.Text != "" || x.Delta.Content != "" || len(x.Delta.ToolCalls) > 0 || x.FinishReason != nil {
			return false
		}
	}
	return true
}
