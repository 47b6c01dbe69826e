package confsync_test

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/confsync"
)

func TestConfsync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "confsync")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func raw(name string) []byte {
	return []byte(fmt.Sprintf(`{"apiVersion":%q,"deployment":%q,"weights":{"coldStart":1,"idleAccelerator":1},`+
		`"limits":{"maxWaitMs":1,"upstreamMemoryBytes":1},"groups":[{"name":"g","kind":"plain"}],"services":[],"callers":[]}`, config.APIVersion, name))
}

func envelope(version uint64, name string) confsync.EnvelopeReceived {
	value, err := config.NewEnvelope(version-1, raw(name)).Encode()
	Expect(err).NotTo(HaveOccurred())
	return confsync.EnvelopeReceived{Value: value}
}

func reply(peer string, version uint64) confsync.PeerReplied {
	b := raw(fmt.Sprint("v", version))
	return confsync.PeerReplied{Peer: peer, Version: version, Digest: config.Digest(b), Raw: b}
}

// actionWords formats actions as short words.
func actionWords(actions []confsync.Action) string {
	var words []string
	for _, a := range actions {
		switch a := a.(type) {
		case confsync.ReadStore:
			words = append(words, "read")
		case confsync.QueryPeer:
			words = append(words, fmt.Sprintf("ask-%s-%d", a.Peer, a.Have))
		case confsync.Accepted:
			words = append(words, fmt.Sprintf("accept-%d", a.Document.Version))
		case confsync.Ready:
			words = append(words, "ready")
		case confsync.DocumentIgnored:
			words = append(words, "report")
		}
	}
	return strings.Join(words, " ")
}

func running(version uint64) *confsync.State {
	s := confsync.New()
	s.Step(start, confsync.Tick{})
	Expect(actionWords(s.Step(start, envelope(version, "d")))).To(HaveSuffix("ready"))
	return s
}

var _ = Describe("a starting process", func() {
	var s *confsync.State
	BeforeEach(func() {
		s = confsync.New()
		s.Step(start, confsync.PeersUpdated{Addrs: []string{"a", "b", "c", "d"}})
	})

	// Guards against a process that queries the whole fleet, or only the store.
	It("reads the store and queries three peers", func() {
		s := confsync.New()
		Expect(actionWords(s.Step(start, confsync.Tick{}))).To(Equal("read"))
		Expect(actionWords(s.Step(start, confsync.PeersUpdated{Addrs: []string{"a", "b", "c", "d"}}))).To(Equal("ask-a-0 ask-b-0 ask-c-0"))
	})

	// Guards against the first reply being preferred to a newer one.
	It("accepts the newest of all replies", func() {
		Expect(actionWords(s.Step(start, reply("a", 4)))).To(BeEmpty())
		Expect(actionWords(s.Step(start, envelope(3, "stale")))).To(BeEmpty())
		Expect(actionWords(s.Step(start, reply("b", 5)))).To(BeEmpty())
		Expect(actionWords(s.Step(start, confsync.PeerFailed{Peer: "c"}))).To(Equal("accept-5 ready"))
	})

	// Guards against an unresponsive peer or store that keeps the process from serving.
	It("does not wait for unresponsive peers", func() {
		s.Step(start, reply("a", 4))
		Expect(actionWords(s.Step(at(confsync.FetchTimeout-1), confsync.Tick{}))).To(BeEmpty())
		Expect(actionWords(s.Step(at(confsync.FetchTimeout), confsync.Tick{}))).To(Equal("accept-4 ready"))
	})

	// Guards against a process that serves without a configuration or stops trying to get one.
	It("retries if nothing replied with a configuration", func() {
		for _, ev := range []confsync.Event{confsync.StoreEmpty{}, confsync.PeerFailed{Peer: "a"}, confsync.PeerFailed{Peer: "b"}, confsync.PeerFailed{Peer: "c"}} {
			Expect(actionWords(s.Step(start, ev))).To(BeEmpty())
		}
		Expect(actionWords(s.Step(at(confsync.RetryInterval), confsync.Tick{}))).To(Equal("read ask-a-0 ask-b-0 ask-c-0"))
	})
})

var _ = Describe("a running process", func() {
	// Guards against a stale read that makes an older version active, and against a version accepted twice.
	It("never accepts an older version or the same version twice", func() {
		s := running(5)
		Expect(actionWords(s.Step(start, envelope(4, "d")))).To(BeEmpty())
		Expect(actionWords(s.Step(start, envelope(5, "d")))).To(BeEmpty())
		d, err := config.Parse(6, raw("d"))
		Expect(err).NotTo(HaveOccurred())
		Expect(actionWords(s.Step(start, confsync.DocumentReceived{Document: d}))).To(Equal("accept-6"))
		Expect(actionWords(s.Step(start, envelope(7, "d")))).To(Equal("accept-7"))
		Expect(actionWords(s.Step(start, reply("a", 6)))).To(BeEmpty())
		Expect(s.Version()).To(Equal(uint64(7)))
	})

	// Guards against two active documents with one version, and against a log line for every watch call.
	It("ignores another document of its version and reports it once", func() {
		s := running(5)
		Expect(actionWords(s.Step(start, envelope(5, "other")))).To(Equal("report"))
		Expect(actionWords(s.Step(start, envelope(5, "other")))).To(BeEmpty())
		Expect(s.Current().Config.Deployment).To(Equal("d"))
	})

	// Guards against a corrupted or invalid document becoming active.
	It("reports and ignores corrupted documents", func() {
		s := running(5)
		bad := reply("a", 6)
		bad.Digest = config.Digest([]byte("x"))
		Expect(actionWords(s.Step(start, bad))).To(Equal("report"))
		Expect(actionWords(s.Step(start, confsync.EnvelopeReceived{Value: []byte("{")}))).To(Equal("report"))
		Expect(s.Version()).To(Equal(uint64(5)))
	})

	// Guards against a read by every process at each change, and against a watch that never responds again.
	It("reads the store only if the watch does not deliver the version", func() {
		s := running(5)
		Expect(actionWords(s.Step(start, confsync.VersionAnnounced{Peer: "a", Version: 6}))).To(BeEmpty())
		Expect(actionWords(s.Step(at(confsync.WatchGrace-1), confsync.Tick{}))).To(BeEmpty())
		Expect(actionWords(s.Step(at(confsync.WatchGrace), confsync.Tick{}))).To(Equal("read"))
		Expect(actionWords(s.Step(at(confsync.WatchGrace), envelope(5, "d")))).To(Equal("ask-a-5"))
		Expect(actionWords(s.Step(at(confsync.WatchGrace), reply("a", 6)))).To(Equal("accept-6"))
	})

	// Guards against an outage of the object API that keeps a process behind its peers.
	It("queries the peer at once during an outage, and the next peer if that one is gone", func() {
		s := running(5)
		s.Step(start, confsync.StoreDown{})
		Expect(actionWords(s.Step(start, confsync.VersionAnnounced{Peer: "a", Version: 6}))).To(Equal("ask-a-5"))
		s.Step(start, confsync.PeerFailed{Peer: "a"})
		Expect(actionWords(s.Step(start, confsync.VersionAnnounced{Peer: "b", Version: 6}))).To(BeEmpty())
		Expect(actionWords(s.Step(at(confsync.RetryInterval-1), confsync.Tick{}))).To(BeEmpty())
		Expect(actionWords(s.Step(at(confsync.RetryInterval), confsync.Tick{}))).To(Equal("ask-b-5"))
	})

	// Guards against a version that becomes active too late when one source after the other fails.
	It("activates a version within 8 s although store and watch are unresponsive", func() {
		s := running(5)
		s.Step(start, confsync.VersionAnnounced{Peer: "a", Version: 6})
		for t := time.Duration(0); s.Version() == 5; t += confsync.TickInterval {
			Expect(t).To(BeNumerically("<=", 4*time.Second)) // announced at most 4 s after the change
			for _, a := range s.Step(at(t), confsync.Tick{}) {
				if query, ok := a.(confsync.QueryPeer); ok {
					s.Step(at(t), reply(query.Peer, 6))
				}
			}
		}
	})

	// Guards against any order of replies, duplicates and losses that makes an older version active or a version
	// accepted twice.
	It("accepts ascending versions under any sequence of events", func() {
		for seed := int64(0); seed < 200; seed++ {
			r, s, last, ready := rand.New(rand.NewSource(seed)), confsync.New(), uint64(0), 0
			for i, now := 0, start; i < 100; i++ {
				now = now.Add(time.Duration(r.Intn(700)) * time.Millisecond)
				v, peer := uint64(1+r.Intn(1+i/5)), string(rune('a'+r.Intn(4)))
				d, err := config.Parse(v, raw(fmt.Sprint("v", v)))
				Expect(err).NotTo(HaveOccurred())
				events := []confsync.Event{confsync.Tick{}, envelope(v, fmt.Sprint("v", v)), reply(peer, v), confsync.DocumentReceived{Document: d}, confsync.StoreDown{}, confsync.StoreUp{}, confsync.StoreEmpty{},
					confsync.VersionAnnounced{Peer: peer, Version: v}, confsync.PeerFailed{Peer: peer}, confsync.PeersUpdated{Addrs: []string{"a", "b"}}}
				for _, a := range s.Step(now, events[r.Intn(len(events))]) {
					if acc, ok := a.(confsync.Accepted); ok {
						Expect(acc.Document.Version).To(BeNumerically(">", last), "seed %d", seed)
						last = acc.Document.Version
					}
					if _, ok := a.(confsync.Ready); ok {
						ready++
					}
				}
				Expect(ready).To(BeNumerically("<=", 1))
				Expect(s.Version() == 0).To(Equal(ready == 0), "seed %d", seed)
			}
		}
	})
})
