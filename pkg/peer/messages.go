// Package peer defines the datagrams between routers and agents. Routers send the models and adapters that their
// requests wait for; agents report the holdings and load of their upstream. Holdings are repeated until the router has
// confirmed their version; everything else is complete in each message, so the next message makes up for a lost one.
// Agents exchange the messages of package fetchturn.
package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/fetchturn"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/quota"
	"github.com/hibiscuscross/hibiscuscross/pkg/speed"
	"github.com/hibiscuscross/hibiscuscross/pkg/upstreamlimit"
)

// MaxDatagram is the maximum size of an encoded message in bytes.
const MaxDatagram = 16 << 10

// LoadRequest is a model or an adapter that requests at a router wait for. Waiting is the number of these requests; for
// a model it includes the requests of the last seconds that were refused because the model was not loaded.
type LoadRequest struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	Waiting int    `cbor:"3,keyasint"`
	// ExtraReplica reports whether the request is for an extra replica of a loaded model that has no cached copy.
	ExtraReplica bool `cbor:"4,keyasint,omitempty"`
}

// ModelUsage is a router's use of a model that the agent's upstream has loaded.
type ModelUsage struct {
	Model string `cbor:"1,keyasint"`
	// HigherRanked is the number of upstreams that serve the model and rank higher than this one.
	HigherRanked int `cbor:"2,keyasint,omitempty"`
	// Running is the number of the router's requests for the model that run at this upstream, and Rate the number of
	// requests per second for the model at this router.
	Running int     `cbor:"4,keyasint,omitempty"`
	Rate    float32 `cbor:"5,keyasint,omitempty"`
	// Adapters is the number of the router's running requests by adapter of the model, without adapters that have none.
	Adapters map[string]int `cbor:"6,keyasint,omitempty"`
}

// ModelDemand is a router's demand for a model, for the order of the fetches from the weight store.
type ModelDemand struct {
	Model string `cbor:"1,keyasint"`
	// Weight is the number of requests that wait for the model or were refused within the last seconds because it was not
	// loaded, weighted by priority.
	Weight float32 `cbor:"2,keyasint,omitempty"`
	// SingleCopyRate is the number of requests per second if the model's only copy is loaded at one upstream, otherwise 0.
	SingleCopyRate float32 `cbor:"3,keyasint,omitempty"`
}

// Demand is the message from a router to an agent.
type Demand struct {
	Router string `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint,omitempty"`
	// Here lists the load requests for the agent's upstream, Anywhere those for models at any upstream.
	Here     []LoadRequest `cbor:"3,keyasint,omitempty"`
	Anywhere []LoadRequest `cbor:"4,keyasint,omitempty"`
	// UsedAdapters lists the adapters for which this router has sent requests to the agent's upstream since its last
	// message.
	UsedAdapters []placement.Adapter `cbor:"5,keyasint,omitempty"`
	// Leaving reports whether the router is stopping and no longer counts as live.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// ModelUsage is the router's use of the models that the agent's upstream has loaded.
	ModelUsage []ModelUsage `cbor:"7,keyasint,omitempty"`
	// Crashes are the router's own reports, not yet received by the agent, of requests that crash upstreams.
	// CrashesFrom is the number of the first of the agent's crash reports that the router does not have.
	Crashes     []quarantine.Report `cbor:"8,keyasint,omitempty"`
	CrashesFrom uint32              `cbor:"11,keyasint,omitempty"`
	// Fetching lists the models that upstreams are loading from the weight store in the router's view.
	Fetching []string `cbor:"12,keyasint,omitempty"`
	// FetchConcurrency is the number of concurrent loads that the router has observed the weight store serve at full
	// speed; 0 if it has observed none.
	FetchConcurrency int `cbor:"13,keyasint,omitempty"`
	// HoldingsVersion is the version of the holdings that the router has received.
	HoldingsVersion uint32 `cbor:"9,keyasint,omitempty"`
	// ModelDemand is the router's demand for models that are to be fetched from the weight store or lost easily. It is
	// sent to the coordinators of the fetches only.
	ModelDemand []ModelDemand `cbor:"24,keyasint,omitempty"`
	// Probe requests a report at once. It is set if the router depends on the upstream and has not received a report
	// for a while.
	Probe bool `cbor:"10,keyasint,omitempty"`
	// Speed is the router's observations of the speed of the agent's upstream; nil if there are none.
	Speed *speed.Observed `cbor:"30,keyasint,omitempty"`
}

// Holdings are the models that an upstream has loaded and the weights that it has cached in host memory and on disk.
type Holdings struct {
	Models   []catalog.Resident `cbor:"1,keyasint,omitempty"`
	InMemory []string           `cbor:"2,keyasint,omitempty"`
	OnDisk   []string           `cbor:"3,keyasint,omitempty"`
}

// Equal reports whether h and o contain the same models and copies, in any order.
func (h *Holdings) Equal(o *Holdings) bool {
	return catalog.SameResidents(h.Models, o.Models) && catalog.SameNames(h.InMemory, o.InMemory) && catalog.SameNames(h.OnDisk, o.OnDisk)
}

// Report is the message from an agent to a router about its upstream.
type Report struct {
	// ID is the id of the upstream's instance.
	ID string `cbor:"1,keyasint"`
	// StartedUnixMS is the start time of the instance in Unix milliseconds; with ID it identifies the instance.
	StartedUnixMS   int64                     `cbor:"2,keyasint,omitempty"`
	Queued          int                       `cbor:"3,keyasint,omitempty"`
	Running         int                       `cbor:"4,keyasint,omitempty"`
	KVUsed          int                       `cbor:"5,keyasint,omitempty"`
	KVTotal         int                       `cbor:"6,keyasint,omitempty"`
	Draining        bool                      `cbor:"7,keyasint,omitempty"`
	AvailableMemory placement.AvailableMemory `cbor:"8,keyasint,omitzero"`
	// Order is the order that the upstream is executing, and OrderRemainingMS the expected time in ms until it
	// completes.
	Order            *placement.Order `cbor:"10,keyasint,omitempty"`
	OrderRemainingMS int64            `cbor:"11,keyasint,omitempty"`
	// Routers is the number of live routers: those from which the agent has recently received a message.
	Routers int `cbor:"12,keyasint,omitempty"`
	// Crashes are the routers' reports, not yet received by the receiver, of requests that crash upstreams, and
	// CrashesNext is the number of the report after them. CrashesAcked is the number of the last of the receiver's own
	// reports that the agent has.
	Crashes      []quarantine.Report `cbor:"13,keyasint,omitempty"`
	CrashesNext  uint32              `cbor:"17,keyasint,omitempty"`
	CrashesAcked uint64              `cbor:"18,keyasint,omitempty"`
	// Ended states that the instance's process has ended: its address refuses connections. The load and the holdings are
	// then not set.
	Ended bool `cbor:"19,keyasint,omitempty"`
	// Address is the upstream's address (IP:port). A router that does not have the id yet uses it to find the previous
	// instance.
	Address string `cbor:"16,keyasint,omitempty"`
	// Service is the service of the instance, which the list states or which follows from the end of its predecessor; empty if
	// the agent does not know it.
	Service string `cbor:"32,keyasint,omitempty"`
	// AgeMS is the time in ms from the call that read the engine's report until this message was sent.
	AgeMS int64 `cbor:"33,keyasint,omitempty"`
	// PromptTokens are the prompt tokens in progress at the upstream and PromptTokensWaiting those that wait for an
	// admission, of all routers.
	PromptTokens        int `cbor:"24,keyasint,omitempty"`
	PromptTokensWaiting int `cbor:"25,keyasint,omitempty"`
	// AskAbove is the number of uncached tokens above which a prompt needs an admission; 0 if the agent admits none.
	AskAbove int `cbor:"26,keyasint,omitempty"`
	// HoldingsVersion is the version of the upstream's holdings.
	HoldingsVersion uint32 `cbor:"14,keyasint,omitempty"`
	// Holdings is nil if the receiver has confirmed HoldingsVersion.
	Holdings *Holdings `cbor:"15,keyasint,omitempty"`
	// ExpectedLoads and StoreConcurrency are set by the coordinator of the fetches from the weight store: when the fetched
	// models are expected to be loaded, and how many fetches the store serves at full speed; 0 if unknown.
	ExpectedLoads    []fetchturn.Expectation `cbor:"28,keyasint,omitempty"`
	StoreConcurrency int                     `cbor:"29,keyasint,omitempty"`
	// Quotas lists the shards of the tenants' quotas that the agent holds. A report without an id contains nothing else.
	Quotas []quota.Announcement `cbor:"20,keyasint,omitempty"`
	// Limits are the limits of upstreams that the agent keeps.
	Limits []upstreamlimit.Announcement `cbor:"31,keyasint,omitempty"`
	// Speed is what the live routers' messages say of the upstream's speed; nil if nothing.
	Speed *speed.Summary `cbor:"30,keyasint,omitempty"`
}

// SetUpstream sets the fields that describe the upstream, including its holdings and their version.
func (r *Report) SetUpstream(u catalog.Upstream, version uint32) {
	r.ID, r.StartedUnixMS, r.Address, r.Draining, r.HoldingsVersion = u.ID, u.StartedUnixMS, u.Address, u.Draining, version
	r.Holdings = &Holdings{Models: u.Models, InMemory: u.InMemory, OnDisk: u.OnDisk}
}

// Message is one datagram; exactly one field is set.
type Message struct {
	Demand *Demand `cbor:"1,keyasint,omitempty"`
	Report *Report `cbor:"2,keyasint,omitempty"`
	// PromptAsk and PromptEnd are sent by routers, PromptAnswer by agents.
	PromptAsk    *PromptAsk    `cbor:"5,keyasint,omitempty"`
	PromptAnswer *PromptAnswer `cbor:"6,keyasint,omitempty"`
	PromptEnd    *PromptEnd    `cbor:"7,keyasint,omitempty"`
	// TurnRequest and TurnAnswer are exchanged by sidecars.
	TurnRequest *fetchturn.Request `cbor:"8,keyasint,omitempty"`
	TurnAnswer  *fetchturn.Answer  `cbor:"9,keyasint,omitempty"`
	// QuotaRequest is sent by routers, QuotaGrant by the sidecars that hold quotas.
	QuotaRequest *quota.Request `cbor:"3,keyasint,omitempty"`
	QuotaGrant   *quota.Grant   `cbor:"4,keyasint,omitempty"`
	// LimitRequest is sent by routers, LimitGrant by the sidecars that keep the limits of upstreams.
	LimitRequest *upstreamlimit.Request `cbor:"10,keyasint,omitempty"`
	LimitGrant   *upstreamlimit.Grant   `cbor:"11,keyasint,omitempty"`
	// Size is the encoded size of a received message in bytes.
	Size int `cbor:"-"`
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
	if m.kinds() != 1 {
		return Message{}, fault.New(fault.StepTransport, "", "message does not have exactly one content")
	}
	if err := m.check(); err != nil {
		return Message{}, err
	}
	m.Size = len(raw)
	return m, nil
}
