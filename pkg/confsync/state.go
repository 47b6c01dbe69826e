package confsync

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// State is the configuration of one process. It is not safe for concurrent use.
type State struct {
	current   *config.Document // nil until the first is accepted
	newest    *config.Document // newest received while starting
	storeDown bool             // the store's last call failed
	peers     []string

	readSince     time.Time            // zero if no read is in progress
	queries       map[string]time.Time // start times of the queries in progress, by peer
	nextStart     time.Time            // earliest time of the next attempt of a starting process
	startDeadline time.Time            // when a starting process accepts newest; zero until it has one

	announced      uint64 // newest version named by a message
	announcedBy    string
	announcedAt    time.Time
	readForVersion uint64     // announced version for which the store has been read
	nextQuery      time.Time  // earliest time of the next query for the announced version
	lastIgnored    documentID // last document reported as ignored; it is reported only once
}

// documentID identifies a document that was ignored.
type documentID struct {
	version uint64
	digest  string
}

// New returns the state of a starting process.
func New() *State { return &State{queries: map[string]time.Time{}} }

// Current returns the active document, or nil.
func (s *State) Current() *config.Document { return s.current }

// Version returns the active version, or 0. Every message of the process contains it.
func (s *State) Version() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Version
}

// LatestAnnounced returns the newest version named by a message, or the active version if that is newer. It is above
// Version while the process is behind.
func (s *State) LatestAnnounced() uint64 { return max(s.announced, s.Version()) }

// Step advances the state by one event at time now, which must not go back.
func (s *State) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case EnvelopeReceived:
		s.readSince, s.storeDown = time.Time{}, false
		out = s.applyEnvelope(ev.Value)
	case DocumentReceived:
		if ev.Peer == "" {
			s.readSince, s.storeDown = time.Time{}, false
		}
		delete(s.queries, ev.Peer)
		d := ev.Document
		out = s.applyDocument(ev.Peer, d.Version, d.Digest, func() (*config.Document, error) { return d, nil })
	case StoreEmpty:
		s.readSince, s.storeDown = time.Time{}, false
	case StoreDown:
		s.readSince, s.storeDown = time.Time{}, true
	case StoreUp:
		s.storeDown = false
	case PeersUpdated:
		if len(s.peers) == 0 {
			s.nextStart = time.Time{} // a starting process queries them without delay
		}
		s.peers = append([]string(nil), ev.Addrs...)
	case VersionAnnounced:
		s.recordAnnounced(now, ev)
	case PeerReplied:
		delete(s.queries, ev.Peer)
		out = s.applyReply(ev)
	case PeerFailed:
		delete(s.queries, ev.Peer)
	}
	s.expireCalls(now)
	if s.current == nil {
		return append(out, s.start(now)...)
	}
	return append(out, s.catchUp(now)...)
}

// expireCalls counts reads and queries that take longer than FetchTimeout as failed.
func (s *State) expireCalls(now time.Time) {
	if !s.readSince.IsZero() && now.Sub(s.readSince) >= FetchTimeout {
		s.readSince, s.storeDown = time.Time{}, true
	}
	for peer, since := range s.queries {
		if now.Sub(since) >= FetchTimeout {
			delete(s.queries, peer)
		}
	}
}

func (s *State) applyEnvelope(value []byte) []Action {
	e, err := config.DecodeEnvelope(value)
	if err != nil {
		return s.reportIgnored(documentID{digest: config.Digest(value)}, err)
	}
	return s.applyDocument("", e.Version, e.Digest, e.Document)
}

func (s *State) applyReply(ev PeerReplied) []Action {
	if len(ev.Raw) == 0 {
		return nil
	}
	return s.applyDocument(ev.Peer, ev.Version, ev.Digest, func() (*config.Document, error) {
		return config.Verify(ev.Version, ev.Digest, ev.Raw)
	})
}

// applyDocument accepts a document that is newer than the current one, or records it as newest while starting. It
// decodes the document only in that case. Older documents are stale reads and are ignored without a report.
func (s *State) applyDocument(peer string, version uint64, digest string, decode func() (*config.Document, error)) []Action {
	latest := s.current
	if latest == nil {
		latest = s.newest
	}
	if latest != nil && version < latest.Version {
		return nil
	}
	if latest != nil && version == latest.Version {
		if digest == latest.Digest {
			return nil
		}
		return s.reportIgnored(documentID{version, digest}, fault.Newf(fault.StepConfig, peer, "version %d has digest %s in this process and %s in the received document, which is ignored", version, latest.Digest, digest))
	}
	if version == 0 {
		return s.reportIgnored(documentID{version, digest}, fault.New(fault.StepConfig, peer, "document without a version is ignored"))
	}
	d, err := decode()
	if err != nil {
		return s.reportIgnored(documentID{version, digest}, fault.Wrap(err, fault.StepConfig, peer, "document is ignored"))
	}
	if s.current == nil {
		s.newest = d
		return nil
	}
	s.current = d
	return []Action{Accepted{Document: d}}
}

func (s *State) reportIgnored(id documentID, err error) []Action {
	if s.lastIgnored == id {
		return nil
	}
	s.lastIgnored = id
	return []Action{DocumentIgnored{Err: err}}
}

// start reads the store and queries up to MaxPeers peers. It accepts the newest document once all have replied or
// StartTimeout has passed since the first document.
func (s *State) start(now time.Time) []Action {
	if s.newest != nil {
		if s.startDeadline.IsZero() {
			s.startDeadline = now.Add(StartTimeout)
		}
		pending := !s.readSince.IsZero() || len(s.queries) > 0
		if pending && now.Before(s.startDeadline) {
			return nil
		}
		s.current, s.newest = s.newest, nil
		return []Action{Accepted{Document: s.current}, Ready{}}
	}
	if now.Before(s.nextStart) {
		return nil
	}
	s.nextStart = now.Add(RetryInterval)
	out := s.readStore(now)
	for i := 0; i < len(s.peers) && i < MaxPeers; i++ {
		out = append(out, s.queryPeer(now, s.peers[i])...)
	}
	return out
}

func (s *State) recordAnnounced(now time.Time, ev VersionAnnounced) {
	if ev.Version <= s.Version() || ev.Version < s.announced {
		return
	}
	if ev.Version == s.announced {
		s.announcedBy = ev.Peer // the previous peer may be gone
		return
	}
	s.announced, s.announcedBy, s.announcedAt, s.nextQuery = ev.Version, ev.Peer, now, time.Time{}
}

// catchUp fetches an announced version: from the store if it has not arrived by the watch after WatchGrace, and from
// the peer that announced it if the store is down or the read was stale.
func (s *State) catchUp(now time.Time) []Action {
	if s.announced <= s.Version() || !s.readSince.IsZero() {
		return nil
	}
	if !s.storeDown && s.readForVersion < s.announced {
		if now.Sub(s.announcedAt) < WatchGrace {
			return nil
		}
		s.readForVersion = s.announced
		return s.readStore(now)
	}
	if now.Before(s.nextQuery) {
		return nil
	}
	s.nextQuery = now.Add(RetryInterval)
	s.readForVersion = 0 // the next attempt tries the store again
	return s.queryPeer(now, s.announcedBy)
}

func (s *State) readStore(now time.Time) []Action {
	if !s.readSince.IsZero() {
		return nil
	}
	s.readSince = now
	return []Action{ReadStore{}}
}

func (s *State) queryPeer(now time.Time, peer string) []Action {
	if _, pending := s.queries[peer]; pending {
		return nil
	}
	s.queries[peer] = now
	return []Action{QueryPeer{Peer: peer, Have: s.Version()}}
}
