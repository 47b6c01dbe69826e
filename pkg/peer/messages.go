// Package peer holds the datagrams between routers and agents. Routers say which models and adapters their requests wait
// for; agents say what their upstream holds and how busy it is. What an upstream holds is repeated until the router has
// said that it knows it; all else is complete in each message, so a lost one is made good by the next.
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

// LoadRequest is a model or an adapter that requests at a router wait for. Waiting counts them, and for a model also the requests that
// were refused for the lack of it within the last seconds.
type LoadRequest struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	Waiting int    `cbor:"3,keyasint"`
	// More says that the model is loaded and has no other copy outside the weight store.
	More bool `cbor:"4,keyasint,omitempty"`
}

// Held is what a router knows of a model that the agent's upstream has loaded.
type Held struct {
	Model string `cbor:"1,keyasint"`
	// Before is the number of upstreams that serve the model and rank before this one.
	Before int `cbor:"2,keyasint,omitempty"`
	// Running counts the router's requests for the model at this upstream, and Rate is the number of requests per second
	// for it at this router.
	Running int     `cbor:"4,keyasint,omitempty"`
	Rate    float32 `cbor:"5,keyasint,omitempty"`
	// Adapters counts the router's running requests for each adapter of the model that has any.
	Adapters map[string]int `cbor:"6,keyasint,omitempty"`
}

// Demand is what a router asks of an agent.
type Demand struct {
	Router string `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint,omitempty"`
	// Here lists what is wanted at the agent's upstream, Anywhere the models wanted at any upstream.
	Here     []LoadRequest `cbor:"3,keyasint,omitempty"`
	Anywhere []LoadRequest `cbor:"4,keyasint,omitempty"`
	// UsedAdapters lists the adapters that this router has sent requests for to the agent's upstream since its last message.
	UsedAdapters []placement.Adapter `cbor:"5,keyasint,omitempty"`
	// Leaving says that the router is stopping and no longer counts as one.
	Leaving bool   `cbor:"6,keyasint,omitempty"`
	Held    []Held `cbor:"7,keyasint,omitempty"`
	// Crashes are the router's own reports of requests that crash upstreams which the agent does not have. CrashesFrom is
	// the number of the first of the agent's reports that the router does not have.
	Crashes     []quarantine.Report `cbor:"8,keyasint,omitempty"`
	CrashesFrom uint32              `cbor:"11,keyasint,omitempty"`
	// Fetching lists the models that upstreams load from the weight store as far as the router knows, and Parallel is the
	// number of loads that it has seen the store serve at full speed; 0 if it has seen none.
	Fetching []string `cbor:"12,keyasint,omitempty"`
	Parallel int      `cbor:"13,keyasint,omitempty"`
	// Known is the version of the holdings that the router has.
	Known uint32 `cbor:"9,keyasint,omitempty"`
	// Probe asks for a report at once: the router depends on the upstream and has not heard of it for a while.
	Probe bool `cbor:"10,keyasint,omitempty"`
}

// Holdings is what an upstream has loaded and what copies of weights it has.
type Holdings struct {
	Models   []catalog.Resident `cbor:"1,keyasint,omitempty"`
	InMemory []string           `cbor:"2,keyasint,omitempty"`
	OnDisk   []string           `cbor:"3,keyasint,omitempty"`
}

// Equal reports whether two holdings hold the same, in any order.
func (h *Holdings) Equal(o *Holdings) bool {
	return catalog.SameResidents(h.Models, o.Models) && catalog.SameNames(h.InMemory, o.InMemory) && catalog.SameNames(h.OnDisk, o.OnDisk)
}

// State is what an agent says of its upstream.
type State struct {
	// ID and Born name the incarnation of the upstream.
	ID       string         `cbor:"1,keyasint"`
	Born     int64          `cbor:"2,keyasint,omitempty"`
	Queued   int            `cbor:"3,keyasint,omitempty"`
	Running  int            `cbor:"4,keyasint,omitempty"`
	KVUsed   int            `cbor:"5,keyasint,omitempty"`
	KVTotal  int            `cbor:"6,keyasint,omitempty"`
	Draining bool           `cbor:"7,keyasint,omitempty"`
	Room     placement.Room `cbor:"8,keyasint,omitzero"`
	// Order is the order that the upstream carries out; OrderMS is the time in ms until it is expected to be complete.
	Order            *placement.Order `cbor:"10,keyasint,omitempty"`
	OrderRemainingMS int64            `cbor:"11,keyasint,omitempty"`
	// Routers is the number of routers that the agent has heard from lately.
	Routers int `cbor:"12,keyasint,omitempty"`
	// Crashes are the routers' reports of requests that crash upstreams which the receiver does not have, and CrashesNext is
	// the number of the report after them. CrashesSeen is the number of the receiver's own last report.
	Crashes      []quarantine.Report `cbor:"13,keyasint,omitempty"`
	CrashesNext  uint32              `cbor:"17,keyasint,omitempty"`
	CrashesAcked uint64              `cbor:"18,keyasint,omitempty"`
	// Address is the upstream's address (IP:port). A router that does not know the id yet finds the earlier incarnation by it.
	Address string `cbor:"16,keyasint,omitempty"`
	// Version is the version of the upstream's holdings. Holdings is nil if the receiver has said that it has them.
	Version  uint32    `cbor:"14,keyasint,omitempty"`
	Holdings *Holdings `cbor:"15,keyasint,omitempty"`
}

// SetUpstream sets the upstream that the state is about, with its holdings.
func (s *State) SetUpstream(u catalog.Upstream, version uint32) {
	s.ID, s.Born, s.Address, s.Draining, s.Version = u.ID, u.Born, u.Address, u.Draining, version
	s.Holdings = &Holdings{Models: u.Models, InMemory: u.InMemory, OnDisk: u.OnDisk}
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

// Decode decodes a message and checks its values.
func Decode(raw []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(raw, &m); err != nil {
		return Message{}, fault.Wrap(err, fault.StepTransport, "", "decode message")
	}
	if (m.Demand == nil) == (m.State == nil) {
		return Message{}, fault.New(fault.StepTransport, "", "message has no content or two")
	}
	if err := m.check(); err != nil {
		return Message{}, err
	}
	return m, nil
}
