// Package confsync decides which configuration version is active in a process and from where the process fetches a
// newer one. It is a pure state machine: the process passes events to it and executes the actions that it returns.
package confsync

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
)

const (
	// MaxPeers is the maximum number of peers that a starting process queries in addition to the store.
	MaxPeers = 3
	// StartTimeout bounds the time that a starting process waits for further replies after the first one with a
	// configuration.
	StartTimeout = 2 * time.Second
	// WatchGrace is the time that an announced version may take to arrive by the watch before the process reads the
	// store. Without it, every change would cause a read by every process at once. Another process announces a version
	// at the latest 4 s (store.WatchMinInterval) after the change, when its next watch call starts, so that the read
	// happens after 6 s of the 8 s within which the version has to be active.
	WatchGrace = 2 * time.Second
	// FetchTimeout bounds a read of the store or a query of a peer, which then counts as failed. With 1.5 s, an
	// unresponsive watch followed by an unresponsive store would use up the 8 s.
	FetchTimeout = time.Second
	// RetryInterval is the minimum time between two attempts of a starting process, or between two queries for an
	// announced version.
	RetryInterval = 2 * time.Second
	// TickInterval is the maximum time between two Tick events.
	TickInterval = 250 * time.Millisecond
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// EnvelopeReceived is the event that a read or the watch returned a value of config/current.
type EnvelopeReceived struct{ Value []byte }

// DocumentReceived replaces EnvelopeReceived (with an empty Peer) or PeerReplied if the process has decoded the
// document itself, by config.DecodeEnvelope and Envelope.Document or by config.Verify. Decoding a document of 10,000
// adapters takes about 0.2 s of CPU time, so a process that also serves requests decodes it in another goroutine and
// sends this event.
type DocumentReceived struct {
	Peer     string
	Document *config.Document
}

// StoreEmpty is the event that a read found no object config/current.
type StoreEmpty struct{}

// StoreDown is the event that a read or the watch failed.
type StoreDown struct{}

// StoreUp is the event that a call to the store succeeded, including a watch that returned no change.
type StoreUp struct{}

// PeersUpdated is the event that replaces the list of addresses of peers that a starting process may query. The state
// queries the first MaxPeers, so the process shuffles the list.
type PeersUpdated struct{ Addrs []string }

// VersionAnnounced is the event that a message of the peer named a version.
type VersionAnnounced struct {
	Peer    string
	Version uint64
}

// PeerReplied is the event that a peer replied to QueryPeer. Raw is empty if the peer has no newer version.
type PeerReplied struct {
	Peer    string
	Version uint64
	Digest  string
	Raw     []byte
}

// PeerFailed is the event that QueryPeer failed.
type PeerFailed struct{ Peer string }

// Tick is the event that triggers time-dependent decisions. The process sends one at least every TickInterval.
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

// ReadStore asks the process to read config/current. The process reports EnvelopeReceived, StoreEmpty or StoreDown.
type ReadStore struct{}

// QueryPeer asks the process to send a ConfigGet to the peer. The process reports PeerReplied or PeerFailed. Have is
// the active version.
type QueryPeer struct {
	Peer string
	Have uint64
}

// Accepted asks the process to make a configuration active. It is returned once for each accepted version, in ascending
// order.
type Accepted struct{ Document *config.Document }

// Ready tells the process that it has a configuration and may serve. It is returned once, after the first Accepted.
type Ready struct{}

// DocumentIgnored asks the process to log and count a document that was ignored.
type DocumentIgnored struct{ Err error }

func (ReadStore) isAction()       {}
func (QueryPeer) isAction()       {}
func (Accepted) isAction()        {}
func (Ready) isAction()           {}
func (DocumentIgnored) isAction() {}
