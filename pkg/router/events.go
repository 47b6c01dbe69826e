package router

import (
	"bytes"
	"encoding/json"
)

// endMarkerEvent is the end marker of an OpenAI-style stream.
var endMarkerEvent = []byte("data: [DONE]\n\n")

var (
	dataField      = []byte("data:")
	endMarkerValue = []byte("[DONE]")
)

// endMarkerIndex returns the index of the end marker's event in b, or -1. A search of the raw bytes is safe because
// JSON strings contain no unescaped line ends.
func endMarkerIndex(b []byte) int {
	i := bytes.Index(b, endMarkerValue)
	if i < 0 {
		return -1
	}
	start := bytes.LastIndexByte(b[:i], '\n') + 1
	if bytes.Equal(bytes.TrimSpace(b[start:i]), dataField) {
		return start
	}
	return -1
}

// chunk is the part of a streamed chat.completions or completions chunk that a continuation needs.
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

// forEachData calls f with the value of each data field in the events until f returns false.
func forEachData(events []byte, f func(value []byte) bool) {
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, dataField); ok && !f(bytes.TrimSpace(value)) {
			return
		}
	}
}

// extractText returns the text in the events and whether the model has finished it. Ok is false if another upstream
// cannot continue the text from a prefix: several choices, tool calls, or events of another format.
func extractText(events []byte) (text []byte, finished, ok bool) {
	ok = true
	forEachData(events, func(value []byte) bool {
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

// continuationPrefix returns the prefix for an engine that continues the text. Engines accept a prefix as text or as
// events, so text that begins like an event is sent as events.
func continuationPrefix(text, events []byte) []byte {
	first := bytes.TrimLeft(text, "\r\n")
	if len(text) > 0 && (bytes.HasPrefix([]byte("data: "), first[:min(len(first), len("data: "))]) || bytes.HasPrefix(first, dataField)) {
		return events
	}
	return text
}

// rewriter rewrites the events of an upstream that continues an answer to match those of the first upstream.
type rewriter struct{ id, created json.RawMessage }

func newRewriter(retained []byte) *rewriter {
	r := &rewriter{}
	forEachData(retained, func(value []byte) bool {
		var m map[string]json.RawMessage
		if json.Unmarshal(value, &m) == nil {
			r.id, r.created = m["id"], m["created"]
		}
		return false
	})
	return r
}

// events returns the events with the first upstream's id and creation time, without empty opening events.
func (r *rewriter) events(b []byte) []byte {
	var out []byte
	forEachData(b, func(value []byte) bool {
		var m map[string]json.RawMessage
		var c chunk
		if json.Unmarshal(value, &m) != nil || json.Unmarshal(value, &c) != nil {
			out = append(append(append(out, "data: "...), value...), eventEnd...)
			return true
		}
		if isEmptyChunk(c, m) {
			return true
		}
		for name, v := range map[string]json.RawMessage{"id": r.id, "created": r.created} {
			if v != nil {
				m[name] = v
			} else {
				delete(m, name)
			}
		}
		value, _ = json.Marshal(m) // cannot fail: the map holds valid JSON
		out = append(append(append(out, "data: "...), value...), eventEnd...)
		return true
	})
	return out
}

// isEmptyChunk reports whether a chunk has neither text nor tool calls nor a finish reason nor usage.
func isEmptyChunk(c chunk, m map[string]json.RawMessage) bool {
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
