// Package peer holds the datagrams between routers and agents. Routers say which models and adapters their requests wait
// for; agents say what their upstream holds and how busy it is. Each message is complete in itself, so a lost one is made
// good by the next.
package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
)

// MaxDatagram bounds a message in bytes.
const MaxDatagram = 16 << 10

// Want is a model or an adapter that requests at a router wait for.
type Want struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	Waiting int    `cbor:"3,keyasint"`
}

// Held is what a router knows of a model that the agent's upstream has loaded.
type Held struct {
	Model string `cbor:"1,keyasint"`
	// Others is the number of other upstreams that serve the model, and First says that this upstream ranks first among
	// those that serve it.
	Others int  `cbor:"2,keyasint,omitempty"`
	First  bool `cbor:"3,keyasint,omitempty"`
	// Running counts the router's requests for the model at this upstream.
	Running int `cbor:"4,keyasint,omitempty"`
}

// Demand is what a router asks of an agent.
type Demand struct {
	Router string `cbor:"1,keyasint"`
	// Here lists what is wanted at the agent's upstream, Anywhere the models wanted at any upstream.
	Here     []Want `cbor:"2,keyasint,omitempty"`
	Anywhere []Want `cbor:"3,keyasint,omitempty"`
	// Rate is the number of requests per second for each model at this router.
	Rate map[string]float64 `cbor:"4,keyasint,omitempty"`
	// Used lists the adapters that this router has sent requests for to the agent's upstream since its last message.
	Used []placement.Adapter `cbor:"5,keyasint,omitempty"`
	// Leaving says that the router is stopping and no longer counts as one.
	Leaving bool   `cbor:"6,keyasint,omitempty"`
	Held    []Held `cbor:"7,keyasint,omitempty"`
	// Crashes are the router's own reports of requests that crash upstreams.
	Crashes []quarantine.Report `cbor:"8,keyasint,omitempty"`
}

// State is what an agent says of its upstream.
type State struct {
	Upstream                         catalog.Upstream
	Queued, Running, KVUsed, KVTotal int
	Coming                           []placement.Adapter
	// Order is the order that the upstream carries out; OrderMS is the time in ms until it is expected to be complete.
	Order   *placement.Order
	OrderMS int64
	// FreeMB is the memory that nothing takes, and IdleMB that of models without requests, in MB.
	FreeMB, IdleMB float64
	// Routers lists the routers that the agent has heard from lately, and Crashes their reports.
	Routers []string
	Crashes []quarantine.Report
}

// Message is one datagram; exactly one field is set.
type Message struct {
	Demand *Demand `cbor:"1,keyasint,omitempty"`
	State  *State  `cbor:"2,keyasint,omitempty"`
}

// Encode encodes a message.
func Encode(m Message) ([]byte, error) {
	raw, err := cbor.Marshal(m)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepTransport, "", "encode message")
	}
	if len(raw) > MaxDatagram {
		return nil, fault.Newf(fault.StepTransport, "", "message of %d bytes exceeds %d", len(raw), MaxDatagram)
	}
	return raw, nil
}

// Decode decodes a message.
func Decode(raw []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(raw, &m); err != nil {
		return Message{}, fault.Wrap(err, fault.StepTransport, "", "decode message")
	}
	if (m.Demand == nil) == (m.State == nil) {
		return Message{}, fault.New(fault.StepTransport, "", "message has no content or two")
	}
	return m, nil
}
