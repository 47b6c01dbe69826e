package standin

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Completion is the body of a call, with the fields that the stand-in uses.
type Completion struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// ContinueFrom is the text that another engine has produced so far; see package engine/openai.
	ContinueFrom string `json:"continue_from,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Text returns the complete prompt, including all messages.
func (c Completion) Text() string {
	parts := []string{c.Prompt}
	for _, m := range c.Messages {
		parts = append(parts, m.Role+": "+m.Content)
	}
	return strings.Join(parts, "\n")
}

// Tokens returns the first n tokens of the answer to the prompt, which is the same on every engine stand-in. Each token
// ends with a space.
func Tokens(model, prompt string, n int) []string {
	out := make([]string, n)
	seed := xxhash.Sum64String(model + "\x00" + prompt)
	for i := range out {
		out[i] = fmt.Sprintf("t%d-%04x ", i, xxhash.Sum64String(fmt.Sprint(seed, i))&0xffff)
	}
	return out
}

// skipTokens returns the tokens that follow text. It reports false if text is not a sequence of complete tokens from
// the start of the answer.
func skipTokens(tokens []string, text string) ([]string, bool) {
	for i := range tokens {
		if text == "" {
			return tokens[i:], true
		}
		rest, ok := strings.CutPrefix(text, tokens[i])
		if !ok {
			return nil, false
		}
		text = rest
	}
	return nil, text == ""
}

// format builds the bodies of one call in the OpenAI format.
type format struct {
	id, model string
	chat      bool
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type document struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

func (f format) encode(object string, c choice) []byte {
	b, err := json.Marshal(document{ID: f.id, Object: object, Model: f.model, Choices: []choice{c}})
	if err != nil {
		panic(err) // every field of the types can be encoded
	}
	return b
}

// event returns one server-sent event with a token. A nil finish means that further events follow.
func (f format) event(token string, finish *string) []byte {
	c := choice{FinishReason: finish}
	object := "text_completion"
	if f.chat {
		object, c.Delta = "chat.completion.chunk", &Message{Role: "assistant", Content: token}
	} else {
		c.Text = &token
	}
	return fmt.Appendf(nil, "data: %s\n\n", f.encode(object, c))
}

// complete returns the body of the answer to a call that is not streamed.
func (f format) complete(text string) []byte {
	stop := "stop"
	c := choice{FinishReason: &stop}
	object := "text_completion"
	if f.chat {
		object, c.Message = "chat.completion", &Message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return append(f.encode(object, c), '\n')
}

const doneEvent = "data: [DONE]\n\n"
