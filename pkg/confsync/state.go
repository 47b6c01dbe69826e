package confsync

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// State is the configuration of one process. It is not safe for concurrent use.
type State struct {
	current *config.Document // nil until the first is accepted
	best    *config.Document // newest seen while starting
	down    bool             // the store's last call failed
	peers   []string

	readSince time.Time            // zero if no read is under way
	asked     map[string]time.Time // asks under way, by peer
	startNext time.Time            // when a starting process tries again
	waitUntil time.Time            // when a starting process takes what it has; zero if nothing yet

	heard     uint64 // newest version that a message named
	heardFrom string
	heardAt   time.Time
	readFor   uint64    // version for which the store was read already
	askNext   time.Time // earliest time of the next ask about heard
	ignored   identity  // last document reported, so that repeats stay silent
}

// identity names a document that was ignored.
type identity struct {
	version uint64
	digest  string
}

// New returns the state of a starting process.
func New() *State { return &State{asked: map[string]time.Time{}} }

// Current returns the document in force, or nil.
func (s *State) Current() *config.Document { return s.current }

// Version returns the version in force, or 0. It is carried on every message.
func (s *State) Version() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Version
}

// LatestAnnounced returns the newest version named by any message or document; it is above Version while the process is behind.
func (s *State) LatestAnnounced() uint64 { return max(s.heard, s.Version()) }

// Step advances the state by one event at time now, which must not go back.
func (s *State) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case EnvelopeReceived:
		s.readSince, s.down = time.Time{}, false
		out = s.envelope(ev.Value)
	case DocumentReceived:
		if ev.Peer == "" {
			s.readSince, s.down = time.Time{}, false
		}
		delete(s.asked, ev.Peer)
		d := ev.Document
		out = s.offer(ev.Peer, d.Version, d.Digest, func() (*config.Document, error) { return d, nil })
	case StoreEmpty:
		s.readSince, s.down = time.Time{}, false
	case StoreDown:
		s.readSince, s.down = time.Time{}, true
	case StoreUp:
		s.down = false
	case PeersUpdated:
		if len(s.peers) == 0 {
			s.startNext = time.Time{} // a starting process asks them now
		}
		s.peers = append([]string(nil), ev.Addrs...)
	case VersionAnnounced:
		s.hear(now, ev)
	case PeerReplied:
		delete(s.asked, ev.Peer)
		out = s.answer(ev)
	case PeerFailed:
		delete(s.asked, ev.Peer)
	}
	s.expire(now)
	if s.current == nil {
		return append(out, s.start(now)...)
	}
	return append(out, s.catchUp(now)...)
}

// expire gives up on calls without an answer.
func (s *State) expire(now time.Time) {
	if !s.readSince.IsZero() && now.Sub(s.readSince) >= FetchTimeout {
		s.readSince, s.down = time.Time{}, true
	}
	for peer, since := range s.asked {
		if now.Sub(since) >= FetchTimeout {
			delete(s.asked, peer)
		}
	}
}

func (s *State) envelope(value []byte) []Action {
	e, err := config.DecodeEnvelope(value)
	if err != nil {
		return s.ignore(identity{digest: config.Digest(value)}, err)
	}
	return s.offer("", e.Version, e.Digest, e.Document)
}

func (s *State) answer(ev PeerReplied) []Action {
	if len(ev.Raw) == 0 {
		return nil
	}
	return s.offer(ev.Peer, ev.Version, ev.Digest, func() (*config.Document, error) {
		return config.Verify(ev.Version, ev.Digest, ev.Raw)
	})
}

// offer considers a document, which is decoded only if it is newer. Older ones are stale reads and are passed over in
// silence.
func (s *State) offer(peer string, version uint64, digest string, decode func() (*config.Document, error)) []Action {
	have := s.current
	if have == nil {
		have = s.best
	}
	if have != nil && version < have.Version {
		return nil
	}
	if have != nil && version == have.Version {
		if digest == have.Digest {
			return nil
		}
		return s.ignore(identity{version, digest}, fault.Newf(fault.StepConfig, peer, "version %d has digest %s here and %s there; the latter is ignored", version, have.Digest, digest))
	}
	if version == 0 {
		return s.ignore(identity{version, digest}, fault.New(fault.StepConfig, peer, "document without a version is ignored"))
	}
	d, err := decode()
	if err != nil {
		return s.ignore(identity{version, digest}, fault.Wrap(err, fault.StepConfig, peer, "document is ignored"))
	}
	if s.current == nil {
		s.best = d
		return nil
	}
	s.current = d
	return []Action{Accepted{Document: d}}
}

func (s *State) ignore(id identity, err error) []Action {
	if s.ignored == id {
		return nil
	}
	s.ignored = id
	return []Action{DocumentIgnored{Err: err}}
}

// start asks the store and up to MaxPeers peers, and takes the newest answer once all have answered or StartWait has
// passed since the first.
func (s *State) start(now time.Time) []Action {
	if s.best != nil {
		if s.waitUntil.IsZero() {
			s.waitUntil = now.Add(StartTimeout)
		}
		pending := !s.readSince.IsZero() || len(s.asked) > 0
		if pending && now.Before(s.waitUntil) {
			return nil
		}
		s.current, s.best = s.best, nil
		return []Action{Accepted{Document: s.current}, Ready{}}
	}
	if now.Before(s.startNext) {
		return nil
	}
	s.startNext = now.Add(RetryInterval)
	out := s.read(now)
	for i := 0; i < len(s.peers) && i < MaxPeers; i++ {
		out = append(out, s.ask(now, s.peers[i])...)
	}
	return out
}

func (s *State) hear(now time.Time, ev VersionAnnounced) {
	if ev.Version <= s.Version() || ev.Version < s.heard {
		return
	}
	if ev.Version == s.heard {
		s.heardFrom = ev.Peer // the earlier one may have gone
		return
	}
	s.heard, s.heardFrom, s.heardAt, s.askNext = ev.Version, ev.Peer, now, time.Time{}
}

// catchUp fetches the version heard of: from the store once the watch had time to bring it, and from the peer that named
// it if the store is down or its read was stale.
func (s *State) catchUp(now time.Time) []Action {
	if s.heard <= s.Version() || !s.readSince.IsZero() {
		return nil
	}
	if !s.down && s.readFor < s.heard {
		if now.Sub(s.heardAt) < WatchGrace {
			return nil
		}
		s.readFor = s.heard
		return s.read(now)
	}
	if now.Before(s.askNext) {
		return nil
	}
	s.askNext = now.Add(RetryInterval)
	s.readFor = 0 // the next attempt tries the store again
	return s.ask(now, s.heardFrom)
}

func (s *State) read(now time.Time) []Action {
	if !s.readSince.IsZero() {
		return nil
	}
	s.readSince = now
	return []Action{ReadStore{}}
}

func (s *State) ask(now time.Time, peer string) []Action {
	if _, busy := s.asked[peer]; busy {
		return nil
	}
	s.asked[peer] = now
	return []Action{QueryPeer{Peer: peer, Have: s.Version()}}
}
