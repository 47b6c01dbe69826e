package peer

import "strings"

import "github.com/hibiscuscross/hibiscuscross/pkg/promptqueue"

// PromptAsk asks an agent to admit a prompt to its upstream, or states that a prompt is sent without an admission. It is
// repeated under the same number until it is answered.
type PromptAsk struct {
	Router   string `cbor:"1,keyasint"`
	Epoch    uint64 `cbor:"2,keyasint"` // distinguishes successive processes of the router
	Seq      uint64 `cbor:"3,keyasint"`
	Tokens   int    `cbor:"4,keyasint"` // to be processed
	Output   int    `cbor:"5,keyasint,omitempty"`
	Priority int    `cbor:"6,keyasint,omitempty"`
	Tenant   string `cbor:"7,keyasint,omitempty"`
	// SpareMS is how long the prompt may wait, and DueMS the time until its first event is due, both in ms.
	SpareMS int64 `cbor:"8,keyasint,omitempty"`
	DueMS   int64 `cbor:"9,keyasint,omitempty"`
	// Sent states that the prompt is sent without an admission; there is no answer.
	Sent bool `cbor:"10,keyasint,omitempty"`
}

// PromptAnswer answers a PromptAsk of the same epoch and number. It is sent again when a waiting prompt is admitted.
type PromptAnswer struct {
	Epoch   uint64              `cbor:"1,keyasint"`
	Seq     uint64              `cbor:"2,keyasint"`
	Verdict promptqueue.Verdict `cbor:"3,keyasint"`
	WaitMS  int64               `cbor:"4,keyasint,omitempty"` // expected wait in ms
}

// PromptEnd reports the first event of a prompt, its end before that, or its return.
type PromptEnd struct {
	Router string              `cbor:"1,keyasint"`
	Epoch  uint64              `cbor:"2,keyasint"`
	Seq    uint64              `cbor:"3,keyasint"`
	Kind   promptqueue.EndKind `cbor:"4,keyasint"`
}

const (
	// maxPromptMS bounds the times of a prompt in ms. The longest target of a first event is 5 s.
	maxPromptMS = 60_000
	// maxPromptTokens bounds the tokens of one prompt or output. It is above the KV memory of any engine.
	maxPromptTokens = 10_000_000
	// maxPriority is the least urgent priority that engines distinguish.
	maxPriority = 9
)

// Clamp limits the values to those that receivers accept. Callers state the sizes, and a message that is refused would
// make the agent seem unresponsive.
func (a *PromptAsk) Clamp() {
	a.Tokens, a.Output = min(max(a.Tokens, 0), maxPromptTokens), min(max(a.Output, 0), maxPromptTokens)
	a.SpareMS, a.DueMS = min(max(a.SpareMS, 0), maxPromptMS), min(max(a.DueMS, -maxPromptMS), maxPromptMS)
	a.Tenant = strings.ToValidUTF8(a.Tenant[:min(len(a.Tenant), maxNameBytes)], "") // a cut character cannot be decoded
}

// kinds returns the number of fields that are set.
func (m *Message) kinds() int {
	n := 0
	for _, set := range []bool{m.Demand != nil, m.Report != nil, m.PromptAsk != nil, m.PromptAnswer != nil, m.PromptEnd != nil,
		m.TurnRequest != nil, m.TurnAnswer != nil, m.QuotaRequest != nil, m.QuotaGrant != nil, m.LimitRequest != nil, m.LimitGrant != nil} {
		if set {
			n++
		}
	}
	return n
}

// prompts checks the messages on the admission of prompts.
func (c *checker) prompts(m *Message) {
	if a := m.PromptAsk; a != nil {
		c.require(a.Router != "", "router")
		c.name("router", a.Router, a.Tenant)
		c.require(a.Tokens >= 0 && a.Tokens <= maxPromptTokens && a.Output >= 0 && a.Output <= maxPromptTokens, "tokens")
		c.require(a.Priority >= 0 && a.Priority <= maxPriority, "priority")
		c.require(a.SpareMS >= 0 && a.SpareMS <= maxPromptMS, "spare")
		c.require(a.DueMS >= -maxPromptMS && a.DueMS <= maxPromptMS, "due")
	}
	if a := m.PromptAnswer; a != nil {
		c.require(a.Verdict >= promptqueue.Admitted && a.Verdict <= promptqueue.Rejected, "verdict")
		c.require(a.WaitMS >= 0 && a.WaitMS <= maxPromptMS, "wait")
	}
	if e := m.PromptEnd; e != nil {
		c.require(e.Router != "", "router")
		c.name("router", e.Router)
		c.require(e.Kind >= promptqueue.FirstEvent && e.Kind <= promptqueue.Returned, "end")
	}
}
