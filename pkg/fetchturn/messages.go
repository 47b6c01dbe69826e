// Package fetchturn decides which upstream fetches which model from the weight store, and when. One sidecar of a service
// coordinates: it keeps the queue of the wanted fetches and gives turns (Queue). The others ask it (Requester). No lease
// protects the coordinator: two of them at a time start more fetches than the store serves at full speed, which costs
// time only. The package is pure: the caller passes the time, sends the messages and executes the decisions.
package fetchturn

import (
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/catalog"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
)

const (
	// TurnValidity is how long a turn may be used after the sidecar sent the request that it answers.
	TurnValidity = time.Second
	// MaxWants bounds the models in a request.
	MaxWants = 8
	// MaxExpectations bounds the models for which a coordinator reports the expected load time.
	MaxExpectations = 64
)

// Request is the message of a sidecar to a coordinator. It is complete in itself, so the next one makes up for a lost
// one. Without Wants it only announces the state of the sidecar's fetch and is not answered.
type Request struct {
	// Upstream is the id of the sidecar's upstream, and Service its service.
	Upstream string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	// Seq is the number of the request. It grows over restarts of the sidecar.
	Seq   uint64           `cbor:"3,keyasint"`
	Wants []placement.Want `cbor:"4,keyasint,omitempty"`
	// Fetch is the fetch in progress, and Ended the last one, for some seconds after its end.
	Fetch *Fetch `cbor:"5,keyasint,omitempty"`
	Ended *Ended `cbor:"6,keyasint,omitempty"`
	// Busy reports whether the engine executes an order that the sidecar does not know, as after a restart of the sidecar.
	Busy bool `cbor:"7,keyasint,omitempty"`
}

// Fetch is a load from the weight store in progress.
type Fetch struct {
	Model string `cbor:"1,keyasint"`
	AgeMS int64  `cbor:"2,keyasint,omitempty"`
	// Unconfirmed reports whether the answer to the order was lost. The engine may still carry out the order.
	Unconfirmed bool `cbor:"3,keyasint,omitempty"`
}

// Ended is a fetch that has ended.
type Ended struct {
	Model      string `cbor:"1,keyasint"`
	DurationMS int64  `cbor:"2,keyasint,omitempty"`
	Loaded     bool   `cbor:"3,keyasint,omitempty"`
}

// Answer is the message of a coordinator to a sidecar. A coordinator sends a second answer to the same request when a
// turn becomes free before the next request.
type Answer struct {
	// Coordinator and Upstream are the ids of the sender's and of the receiver's upstream.
	Coordinator string `cbor:"1,keyasint"`
	Upstream    string `cbor:"2,keyasint"`
	// Seq is the number of the request; 0 for an offer, which answers none.
	Seq uint64 `cbor:"3,keyasint,omitempty"`
	// Turn is the model that the upstream may fetch now; empty if there is none. Reason is then the reason.
	Turn   string `cbor:"4,keyasint,omitempty"`
	Reason Reason `cbor:"5,keyasint,omitempty"`
	// Offer is a model of which the upstream should want a second copy.
	Offer string `cbor:"6,keyasint,omitempty"`
}

// Reason is the reason why a coordinator gives no turn.
type Reason uint8

// Reasons. ReasonNone is that of an answer with a turn.
const (
	ReasonNone Reason = iota
	ReasonStoreBusy
	ReasonUnproven
	ReasonPreloads
	ReasonBehind
	ReasonFetching
	ReasonStarting
	ReasonUnused
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "store_busy", "concurrency_unproven", "enough_preloads", "other_models_first", "being_fetched", "coordinator_starts", "turn_not_used",
}

func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Expectation is the time until a model is expected to be loaded from the weight store.
type Expectation struct {
	Model string `cbor:"1,keyasint"`
	MS    int64  `cbor:"2,keyasint"`
}

// Ranks returns the addresses of the first two upstreams of the service by rendezvous hashing: the coordinator and the
// one that replaces it. The address is hashed, not the id, so that a restart of an engine does not move the coordinator.
func Ranks(service string, upstreams []catalog.Upstream) []string {
	key := "fetch turns of " + service
	var addresses [2]string
	var weights [2]uint64
	for i := range upstreams {
		u := &upstreams[i]
		if u.Draining || u.Address == "" || u.Address == addresses[0] || u.Address == addresses[1] {
			continue
		}
		switch weight := placement.Rank(key, u.Address); {
		case addresses[0] == "" || weight > weights[0]:
			addresses[1], weights[1] = addresses[0], weights[0]
			addresses[0], weights[0] = u.Address, weight
		case addresses[1] == "" || weight > weights[1]:
			addresses[1], weights[1] = u.Address, weight
		}
	}
	return slices.DeleteFunc(addresses[:], func(a string) bool { return a == "" })
}
