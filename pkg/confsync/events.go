// Package confsync decides which configuration version a process has in force and from where it fetches a newer one.
// It is a pure state machine: the process feeds it events and carries out its actions.
package confsync

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
)

const (
	// MaxPeers is how many peers a starting process asks beside the store.
	MaxPeers = 3
	// StartTimeout bounds how long a starting process waits for slower answers once it has a configuration from one.
	StartTimeout = 2 * time.Second
	// WatchGrace is how long a version that a message named may take to arrive by the watch. Without it, every change
	// would cause a read by every process at once. A version heard of at the latest time at which a watch call of another
	// process begins (4 s, store.WatchMinInterval) is then read after 6 s of the 8 s in which it has to be in force.
	WatchGrace = 2 * time.Second
	// FetchTimeout bounds a read or an ask; without an answer it counts as failed. With 1.5 s, a silent watch and a silent
	// store would use up the whole 8 s.
	FetchTimeout = time.Second
	// RetryInterval is the least time between two attempts of a starting process, or two asks of one peer.
	RetryInterval = 2 * time.Second
	// TickInterval is the longest time between two Tick events.
	TickInterval = 250 * time.Millisecond
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// EnvelopeReceived carries a value of config/current, from a read or the watch.
type EnvelopeReceived struct{ Value []byte }

// DocumentReceived is EnvelopeSeen (empty Peer) or PeerAnswered with a document that the process has decoded by
// config.DecodeEnvelope and Document, or by config.Verify. Decoding a document of 10,000 adapters takes about 0.2 s of
// CPU time, so a process that steps this state beside requests decodes in another goroutine and sends this event.
type DocumentReceived struct {
	Peer     string
	Document *config.Document
}

// StoreEmpty says that a read found no config/current.
type StoreEmpty struct{}

// StoreDown says that a read or the watch failed.
type StoreDown struct{}

// StoreUp says that a call to the store succeeded; a watch without a change counts.
type StoreUp struct{}

// PeersUpdated replaces the list of peers' addresses that a starting process may ask. The first MaxPeers are asked, so
// the process shuffles them.
type PeersUpdated struct{ Addrs []string }

// VersionAnnounced says that a message of the peer named a version.
type VersionAnnounced struct {
	Peer    string
	Version uint64
}

// PeerReplied is the answer to AskPeer. An empty Raw says that the peer has nothing newer.
type PeerReplied struct {
	Peer    string
	Version uint64
	Digest  string
	Raw     []byte
}

// PeerFailed says that AskPeer got no answer.
type PeerFailed struct{ Peer string }

// Tick lets time-dependent decisions run; the process sends one at least every TickInterval.
type Tick struct{}

func (EnvelopeReceived) isEvent() {}
func (DocumentReceived) isEvent() {}
func (StoreEmpty) isEvent()       {}
func (StoreDown) isEvent()        {}
func (StoreUp) isEvent()          {}
func (PeersUpdated) isEvent()     {}
func (VersionAnnounced) isEvent() {}
func (PeerReplied) isEvent()      {}
func (PeerFailed) isEvent()       {}
func (Tick) isEvent()             {}

// Action is an output of State.Step.
type Action interface{ isAction() }

// ReadStore asks for a read of config/current; the process reports EnvelopeSeen, StoreEmpty or StoreDown.
type ReadStore struct{}

// QueryPeer asks for a ConfigGet to the peer; the process reports PeerAnswered or PeerFailed.
type QueryPeer struct {
	Peer string
	Have uint64
}

// Accepted puts a configuration in force. It is given once for each version that the process takes, in growing order.
type Accepted struct{ Document *config.Document }

// Ready says that the process has a configuration and may serve. It follows the first Accepted, once.
type Ready struct{}

// DocumentIgnored asks for a log line and a metric: a document was ignored.
type DocumentIgnored struct{ Err error }

func (ReadStore) isAction()       {}
func (QueryPeer) isAction()       {}
func (Accepted) isAction()        {}
func (Ready) isAction()           {}
func (DocumentIgnored) isAction() {}
