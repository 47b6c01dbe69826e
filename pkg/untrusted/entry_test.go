package untrusted_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/peer"
	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Addresses of the platform's processes. The ports are those of the platform.
const (
	entryIP, sidecarIP, platformIP                     = "127.23.0.1", "127.23.0.2", "127.23.0.3"
	frontPort, readyPort, storePort, peerPort, opsPort = 8149, 8141, 8142, 7380, 9464
	plainPort, enginePort                              = 8145, 8146
)

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// startPlatform starts the stand-ins of the store, a plain service and a model engine.
func startPlatform() {
	GinkgoHelper()
	store := standin.NewStore()
	models := map[string]float64{"m0": 70}
	store.Put("config", "main", standin.WithLimits(standin.Config(1, []standin.Route{
		{Name: "lookup", Prefix: "/lookup/", Kind: standin.Idempotent, Service: "loans", Timeout: 20 * time.Second, MaxAttempts: 2},
		{Name: "chat", Prefix: "/chat/", Kind: standin.Streaming, Service: "llm", Timeout: 20 * time.Second, MaxAttempts: 1},
	}, models), standin.Limits{BodyBytes: bodyLimit, HeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}))
	ln, err := net.Listen("tcp4", at(platformIP, storePort))
	Expect(err).NotTo(HaveOccurred())
	srv := &http.Server{Handler: store}
	go func() { _ = srv.Serve(ln) }()
	DeferCleanup(srv.Close)
	observer := standin.Observer{
		RequestArrived: func(string, string, time.Time) {}, RequestRan: func(string, string, string, uint64) {}, RuleBroken: func(string, string) {},
	}
	for _, s := range []standin.RunnerSettings{
		{Service: "loans", Zone: "z0", ListedAddress: at(platformIP, plainPort), Slots: 64, WorkTime: 100 * time.Millisecond},
		{Service: "llm", Zone: "z0", ListedAddress: at(platformIP, enginePort), Slots: 32, MemoryMB: 200, AdapterSlots: 3, Models: models, WorkTime: time.Millisecond},
	} {
		s.ListenAddress = s.ListedAddress
		var loaded []string
		for m := range s.Models {
			loaded = append(loaded, m)
		}
		r := standin.NewRunner(s, store, observer, loaded...)
		Expect(r.Start()).To(Succeed())
		DeferCleanup(r.Crash)
	}
}

func settings(name, ip string) standin.Settings {
	return standin.Settings{Name: name, IP: ip, Zone: "z0", PeerPort: peerPort, Front: at(ip, frontPort), Ready: at(ip, readyPort),
		Store: at(platformIP, storePort), MemoryMB: memoryMB, MaxFDs: maxFDs}
}

// startEntry starts a router and waits until it serves.
func startEntry() *usage {
	GinkgoHelper()
	startPlatform()
	u := watch(startDaemon("entry", settings("entry", entryIP).File()), netip.MustParseAddr(entryIP))
	Eventually(lookup).Should(Succeed())
	return u
}

// lookup sends an ordinary request with the largest common body and checks its answer.
func lookup() error { return post(commonBody) }

func post(size int) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+at(entryIP, frontPort)+"/lookup/x", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return err
	}
	req.Host = standin.Host
	standin.SetRequestHeader(req.Header, "ordinary", 5*time.Second, "", "")
	return do(req, "ordinary /lookup/x ")
}

// do sends a request on a connection of its own and checks the start of the answer.
func do(req *http.Request, want string) error {
	c := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !strings.HasPrefix(string(body), want) {
		return fmt.Errorf("status %d, body %.80q", resp.StatusCode, body)
	}
	return nil
}

func get(address, path, want string) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	return do(req, want)
}

// flood sends datagrams from one socket, slowly enough for most to be received.
func flood(address string, count int, message func(i int) peer.Message) {
	conn, err := net.Dial("udp4", address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	for i := range count {
		raw, err := peer.Encode(message(i))
		Expect(err).NotTo(HaveOccurred())
		_, _ = conn.Write(raw) // an error reports that an earlier datagram was refused
		if i%8 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// names returns distinct names of the largest accepted length.
func names(prefix string, i, count int) (out []string) {
	for n := range count {
		name := fmt.Sprintf("%s-%d-%d-", prefix, i, n)
		out = append(out, name+strings.Repeat("x", 250-len(name)))
	}
	return out
}

var _ = Describe("a router", func() {
	const announced = "Content-Length: %d"
	sizedHead := head("POST", "/lookup/x", announced)
	chunkedHead := head("POST", "/lookup/x", "Transfer-Encoding: chunked")

	// Guards against a process that ends for lack of memory: bodies were buffered whole before anything was weighed.
	DescribeTable("lives within its memory and serves ordinary callers beside clients that send",
		func(count int, address string, c func() client) {
			u := startEntry()
			crowd(count, address, c())
			u.expectLives()
			Eventually(lookup).Should(Succeed())
			u.expectBounded(memoryMB)
		},
		Entry("announced bodies that stop short", 60, at(entryIP, frontPort), func() client { return sized(sizedHead, bodyLimit, bodyLimit-shortBy, 256<<10, 0) }),
		Entry("announced bodies piece by piece that stop short", 60, at(entryIP, frontPort), func() client {
			return sized(sizedHead, bodyLimit, bodyLimit-shortBy, 16<<10, time.Millisecond)
		}),
		Entry("announced bodies, half of them complete", 60, at(entryIP, frontPort), func() client {
			return half(sized(sizedHead, bodyLimit, bodyLimit, 256<<10, 0), sized(sizedHead, bodyLimit, bodyLimit-shortBy, 256<<10, 0))
		}),
		Entry("large chunks that stop short", 60, at(entryIP, frontPort), func() client { return chunked(chunkedHead, bodyLimit-shortBy, 32<<10) }),
		Entry("chunks of one byte that stop short", 100, at(entryIP, frontPort), func() client { return chunked(chunkedHead, 1<<20, 1) }),
		Entry("announced bodies far over the limit", 60, at(entryIP, frontPort), func() client { return sized(sizedHead, 1<<30, 4*bodyLimit, 256<<10, 0) }),
		Entry("chunked bodies far over the limit", 60, at(entryIP, frontPort), func() client { return chunked(chunkedHead, 4*bodyLimit, 32<<10) }),
		Entry("bodies of common size that stop short", 600, at(entryIP, frontPort), func() client { return sized(sizedHead, commonBody, commonBody-1000, 18_000, 0) }),
		Entry("heads that do not end", 1500, at(entryIP, frontPort), func() client { return openHead(60_000) }),
		Entry("heads that do not end, on the balancer's port", 1500, at(entryIP, readyPort), func() client { return openHead(60_000) }),
		Entry("heads that do not end, on the metrics port", 1500, at(entryIP, opsPort), func() client { return openHead(60_000) }),
		Entry("bodies to the balancer's port", 60, at(entryIP, readyPort), func() client {
			return sized(head("GET", "/api/readyz", announced), bodyLimit, bodyLimit-shortBy, 256<<10, 0)
		}),
		Entry("requests for long answers that they do not read", 60, at(entryIP, frontPort), func() client { return unread(head("GET", "/lookup"+standin.LongPath)) }),
		Entry("requests for long streams that they do not read", 60, at(entryIP, frontPort), func() client { return unread(streamHead("/chat" + standin.LongPath)) }),
		Entry("many requests at once whose answers they do not read", 300, at(entryIP, frontPort), func() client { return unread(strings.Repeat(head("GET", "/lookup/x"), 100)) }),
	)

	// Guards against state that forged messages of peers make grow without a bound.
	It("lives within its memory and serves ordinary callers beside a flood of reports", func() {
		u := startEntry()
		flood(at(entryIP, peerPort), 20_000, func(i int) peer.Message {
			return peer.Message{Report: &peer.Report{ID: fmt.Sprint("i-", i), Address: at(platformIP, 1+i%60_000), Holdings: &peer.Holdings{OnDisk: names("m", i, 40)}}}
		})
		Eventually(lookup).Should(Succeed())
		u.expectBounded(memoryMB)
	})

	// Guards against bounds that refuse what the limits of the configuration allow, on the smallest VM.
	It("serves the largest body and 200 common ones at once in calm conditions", func() {
		startEntry()
		Expect(post(bodyLimit)).To(Succeed())
		results := make(chan error, 200)
		for range cap(results) {
			go func() { results <- lookup() }()
		}
		for range cap(results) {
			Expect(<-results).To(Succeed())
		}
	})
})

var _ = Describe("a sidecar", func() {
	start := func() *usage {
		startPlatform()
		s := settings("sidecar", sidecarIP)
		s.Upstream = at(platformIP, enginePort)
		u := watch(startDaemon("sidecar", s.File()), netip.MustParseAddr(sidecarIP))
		Eventually(func() error { return get(at(sidecarIP, opsPort), "/metrics", "#") }).Should(Succeed())
		return u
	}
	expectServes := func(u *usage) {
		Eventually(func() error { return get(at(sidecarIP, opsPort), "/metrics", "#") }).Should(Succeed())
		u.expectBounded(memoryMB)
	}

	// Guards against the descriptors and the memory of the process beside an engine being used up by clients of its ports.
	DescribeTable("lives within its memory and serves operators beside clients that send", func(count int, c client) {
		u := start()
		crowd(count, at(sidecarIP, opsPort), c)
		expectServes(u)
	},
		Entry("heads that do not end", 1500, openHead(60_000)),
		Entry("bodies that stop short", 60, sized(head("POST", "/metrics", "Content-Length: %d"), bodyLimit, bodyLimit-shortBy, 256<<10, 0)),
		Entry("chunks of one byte that stop short", 100, chunked(head("POST", "/metrics", "Transfer-Encoding: chunked"), 1<<20, 1)),
		Entry("many requests at once whose answers they do not read", 300, unread(strings.Repeat(head("GET", "/metrics"), 100))),
	)

	// Guards against state that forged messages of routers make grow without a bound.
	It("lives within its memory beside a flood of messages from routers", func() {
		u := start()
		flood(at(sidecarIP, peerPort), 20_000, func(i int) peer.Message {
			d := &peer.Demand{Router: fmt.Sprint("r-", i)}
			for _, name := range names("a", i, 40) {
				d.UsedAdapters = append(d.UsedAdapters, placement.Adapter{Model: "m0", Name: name})
			}
			return peer.Message{Demand: d}
		})
		expectServes(u)
	})
})
