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

func seen(version uint64, name string) confsync.EnvelopeReceived {
	value, err := config.NewEnvelope(version-1, raw(name)).Encode()
	Expect(err).NotTo(HaveOccurred())
	return confsync.EnvelopeReceived{Value: value}
}

func answer(peer string, version uint64) confsync.PeerReplied {
	b := raw(fmt.Sprint("v", version))
	return confsync.PeerReplied{Peer: peer, Version: version, Digest: config.Digest(b), Raw: b}
}

// show writes actions as short words.
func show(actions []confsync.Action) string {
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
	Expect(show(s.Step(start, seen(version, "d")))).To(HaveSuffix("ready"))
	return s
}

var _ = Describe("a starting process", func() {
	var s *confsync.State
	BeforeEach(func() {
		s = confsync.New()
		s.Step(start, confsync.PeersUpdated{Addrs: []string{"a", "b", "c", "d"}})
	})

	// Guards against a process that asks the whole fleet, or only the store.
	It("asks the store and three peers", func() {
		s := confsync.New()
		Expect(show(s.Step(start, confsync.Tick{}))).To(Equal("read"))
		Expect(show(s.Step(start, confsync.PeersUpdated{Addrs: []string{"a", "b", "c", "d"}}))).To(Equal("ask-a-0 ask-b-0 ask-c-0"))
	})

	// Guards against the first answer winning over a newer one.
	It("takes the newest of all answers", func() {
		Expect(show(s.Step(start, answer("a", 4)))).To(BeEmpty())
		Expect(show(s.Step(start, seen(3, "stale")))).To(BeEmpty())
		Expect(show(s.Step(start, answer("b", 5)))).To(BeEmpty())
		Expect(show(s.Step(start, confsync.PeerFailed{Peer: "c"}))).To(Equal("accept-5 ready"))
	})

	// Guards against a silent peer or store that keeps the process from serving.
	It("does not wait for the silent", func() {
		s.Step(start, answer("a", 4))
		Expect(show(s.Step(at(confsync.FetchTimeout-1), confsync.Tick{}))).To(BeEmpty())
		Expect(show(s.Step(at(confsync.FetchTimeout), confsync.Tick{}))).To(Equal("accept-4 ready"))
	})

	// Guards against a process that serves without a configuration or gives up.
	It("tries again without an answer", func() {
		for _, ev := range []confsync.Event{confsync.StoreEmpty{}, confsync.PeerFailed{Peer: "a"}, confsync.PeerFailed{Peer: "b"}, confsync.PeerFailed{Peer: "c"}} {
			Expect(show(s.Step(start, ev))).To(BeEmpty())
		}
		Expect(show(s.Step(at(confsync.RetryInterval), confsync.Tick{}))).To(Equal("read ask-a-0 ask-b-0 ask-c-0"))
	})
})

var _ = Describe("a running process", func() {
	// Guards against a reversal by a stale read, and against a version accepted twice.
	It("never reverts or repeats", func() {
		s := running(5)
		Expect(show(s.Step(start, seen(4, "d")))).To(BeEmpty())
		Expect(show(s.Step(start, seen(5, "d")))).To(BeEmpty())
		d, err := config.Parse(6, raw("d"))
		Expect(err).NotTo(HaveOccurred())
		Expect(show(s.Step(start, confsync.DocumentReceived{Document: d}))).To(Equal("accept-6"))
		Expect(show(s.Step(start, seen(7, "d")))).To(Equal("accept-7"))
		Expect(show(s.Step(start, answer("a", 6)))).To(BeEmpty())
		Expect(s.Version()).To(Equal(uint64(7)))
	})

	// Guards against two documents in force under one version, and against a log line for every watch call.
	It("reports and ignores another digest of its version, once", func() {
		s := running(5)
		Expect(show(s.Step(start, seen(5, "other")))).To(Equal("report"))
		Expect(show(s.Step(start, seen(5, "other")))).To(BeEmpty())
		Expect(s.Current().Config.Deployment).To(Equal("d"))
	})

	// Guards against a damaged or invalid document in force.
	It("reports and ignores damaged documents", func() {
		s := running(5)
		bad := answer("a", 6)
		bad.Digest = config.Digest([]byte("x"))
		Expect(show(s.Step(start, bad))).To(Equal("report"))
		Expect(show(s.Step(start, confsync.EnvelopeReceived{Value: []byte("{")}))).To(Equal("report"))
		Expect(s.Version()).To(Equal(uint64(5)))
	})

	// Guards against a read by every process at each change, and against a watch that is silent for good.
	It("reads the store only if the watch does not bring the version", func() {
		s := running(5)
		Expect(show(s.Step(start, confsync.VersionAnnounced{Peer: "a", Version: 6}))).To(BeEmpty())
		Expect(show(s.Step(at(confsync.WatchGrace-1), confsync.Tick{}))).To(BeEmpty())
		Expect(show(s.Step(at(confsync.WatchGrace), confsync.Tick{}))).To(Equal("read"))
		Expect(show(s.Step(at(confsync.WatchGrace), seen(5, "d")))).To(Equal("ask-a-5"))
		Expect(show(s.Step(at(confsync.WatchGrace), answer("a", 6)))).To(Equal("accept-6"))
	})

	// Guards against an outage of the object API that keeps a process behind its peers.
	It("asks the peer at once during an outage, and the next one if it is gone", func() {
		s := running(5)
		s.Step(start, confsync.StoreDown{})
		Expect(show(s.Step(start, confsync.VersionAnnounced{Peer: "a", Version: 6}))).To(Equal("ask-a-5"))
		s.Step(start, confsync.PeerFailed{Peer: "a"})
		Expect(show(s.Step(start, confsync.VersionAnnounced{Peer: "b", Version: 6}))).To(BeEmpty())
		Expect(show(s.Step(at(confsync.RetryInterval-1), confsync.Tick{}))).To(BeEmpty())
		Expect(show(s.Step(at(confsync.RetryInterval), confsync.Tick{}))).To(Equal("ask-b-5"))
	})

	// Guards against a version that comes too late although one source after the other fails.
	It("has a version in force within 8 s although store and watch are silent", func() {
		s := running(5)
		s.Step(start, confsync.VersionAnnounced{Peer: "a", Version: 6})
		for t := time.Duration(0); s.Version() == 5; t += confsync.TickInterval {
			Expect(t).To(BeNumerically("<=", 4*time.Second)) // heard at most 4 s after the change
			for _, a := range s.Step(at(t), confsync.Tick{}) {
				if ask, ok := a.(confsync.QueryPeer); ok {
					s.Step(at(t), answer(ask.Peer, 6))
				}
			}
		}
	})

	// Guards against any order of answers, repeats and losses that makes a version go back or be accepted twice.
	It("accepts growing versions under any sequence of events", func() {
		for seed := int64(0); seed < 200; seed++ {
			r, s, last, ready := rand.New(rand.NewSource(seed)), confsync.New(), uint64(0), 0
			for i, now := 0, start; i < 100; i++ {
				now = now.Add(time.Duration(r.Intn(700)) * time.Millisecond)
				v, peer := uint64(1+r.Intn(1+i/5)), string(rune('a'+r.Intn(4)))
				d, err := config.Parse(v, raw(fmt.Sprint("v", v)))
				Expect(err).NotTo(HaveOccurred())
				events := []confsync.Event{confsync.Tick{}, seen(v, fmt.Sprint("v", v)), answer(peer, v), confsync.DocumentReceived{Document: d}, confsync.StoreDown{}, confsync.StoreUp{}, confsync.StoreEmpty{},
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
