package openai_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine/openai"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/standin"
)

func TestOpenAI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "openai")
}

var ctx = context.Background()

const gib = 1 << 30

func client(h http.Handler, conns *standin.Conns) engine.Engine {
	srv, err := standin.Serve("127.0.0.1:0", h, conns)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(srv.Close)
	return connect(srv.URL())
}

func connect(url string) engine.Engine {
	k := kernel.New()
	DeferCleanup(k.Cleanup)
	e, err := kernel.LoadAs[engine.Engine](ctx, k, openai.ID, kernel.Settings{"url": url})
	Expect(err).NotTo(HaveOccurred())
	return e
}

// open returns an engine stand-in with the model "m" loaded, its client and its connections.
func open(o standin.EngineOptions) (*standin.Engine, engine.Engine, *standin.Conns) {
	conns := &standin.Conns{}
	o.Models = map[string]standin.EngineModel{"m": {MemoryBytes: gib, Tier: engine.TierMemory}, "big": {MemoryBytes: 4 * gib, Tier: engine.TierMemory}}
	o.MemorySpeed = 1 << 50
	s := standin.NewEngine(o, conns)
	e := client(s.Handler(), conns)
	Expect(e.Order(ctx, engine.Order{Kind: engine.OrderLoad, Target: engine.Target{Model: "m"}, Fence: 1})).To(Succeed())
	return s, e, conns
}

func call(id, prompt string, stream bool) engine.Call {
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"stream":%v,"max_tokens":8}`, prompt, stream)
	return engine.Call{RequestID: id, Method: http.MethodPost, Path: "/v1/completions", Body: []byte(body)}
}

// read reads the answer to its end, or until it has enough bytes if enough is not 0.
func read(s engine.Stream, enough int) ([]byte, error) {
	defer s.Close()
	var all []byte
	for enough == 0 || len(all) < enough {
		b, err := s.Next(ctx)
		all = append(all, b...)
		if err != nil {
			return all, err
		}
	}
	return all, nil
}

func start(e engine.Engine, c engine.Call) engine.Stream {
	GinkgoHelper()
	s, err := e.Start(ctx, c)
	Expect(err).NotTo(HaveOccurred())
	return s
}

func text(body []byte) string {
	t, _ := openai.Text(body)
	return t
}

func expected() string { return strings.Join(standin.Tokens("m", "p", 8), "") }

var _ = Describe("a streamed answer", func() {
	// Guards against bytes that are lost or duplicated when a stream is resumed.
	It("is resumed at an offset on a new connection", func() {
		s, e, conns := open(standin.EngineOptions{TokenInterval: 20 * time.Millisecond})
		whole, err := read(start(e, call("whole", "p", true)), 0)
		Expect(err).To(Equal(io.EOF))
		Expect(text(whole)).To(Equal(expected()))
		st := start(e, call("cut", "p", true))
		var got []byte
		for len(got) < 200 {
			b, err := st.Next(ctx)
			Expect(err).NotTo(HaveOccurred())
			got = append(got, b...)
		}
		conns.Blackhole()
		rest := got
		for err = nil; err == nil; {
			var b []byte
			b, err = st.Next(ctx)
			rest = append(rest, b...)
		}
		Expect(err).To(MatchError(engine.ErrUnresponsive))
		c := call("cut", "p", true)
		c.Offset = uint64(len(rest))
		st, err = e.Resume(ctx, c)
		Expect(err).NotTo(HaveOccurred())
		tail, err := read(st, 0)
		Expect(err).To(Equal(io.EOF))
		Expect(strings.ReplaceAll(string(append(rest, tail...)), "cmpl-cut", "cmpl-whole")).To(Equal(string(whole)))
		Expect(s.Counts().Calls).To(BeEquivalentTo(2))
	})

	// Guards against lost or duplicated bytes when another engine continues an answer, wherever the prefix ends.
	It("is continued by another engine after any prefix", func() {
		quick := standin.EngineOptions{TokenInterval: time.Microsecond}
		_, e1, _ := open(quick)
		whole, err := read(start(e1, call("id", "p", true)), 0)
		Expect(err).To(Equal(io.EOF))
		event := bytes.Index(whole, []byte("\n\n"))
		cuts := []int{event - 1, event, event + 1, event + 2, len(whole) - 1}
		for n := 1; n < len(whole); n += 97 {
			cuts = append(cuts, n)
		}
		for _, n := range cuts {
			_, other, _ := open(quick)
			c := call("id", "p", true)
			c.Prefix = whole[:n]
			rest, err := read(start(other, c), 0)
			Expect(err).To(Equal(io.EOF), "prefix of %d bytes", n)
			Expect(string(whole[:n])+string(rest)).To(Equal(string(whole)), "prefix of %d bytes", n)
		}
		_, e2, _ := open(quick)
		c := call("bare", "p", true)
		c.Prefix = []byte(strings.Join(standin.Tokens("m", "p", 3), ""))
		rest, err := read(start(e2, c), 0)
		Expect(err).To(Equal(io.EOF))
		Expect(string(c.Prefix) + text(rest)).To(Equal(expected()))
	})

	// Guards against mistaking a truncated answer for a complete one.
	DescribeTable("that is truncated is an error", func(stream bool, want error) {
		s, e, _ := open(standin.EngineOptions{TokenInterval: time.Millisecond})
		s.SetFaults(standin.EngineFaults{Truncate: 1})
		_, err := read(start(e, call("id", "p", stream)), 0)
		Expect(err).To(MatchError(want))
	},
		Entry("streamed", true, engine.ErrUnknown),
		Entry("whole", false, engine.ErrDied),
	)

	// Guards against accepting an answer without a length, whose truncation could not be detected.
	It("that ends with its connection is an error", func() {
		e := client(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, buf, _ := http.NewResponseController(w).Hijack()
			_, _ = buf.WriteString("HTTP/1.0 200 OK\r\n\r\n{}")
			_ = buf.Flush()
			_ = c.Close()
		}), nil)
		_, err := read(start(e, call("id", "p", false)), 0)
		Expect(err).To(MatchError(engine.ErrUnknown))
	})

	// Guards against mistaking a crash for a lost connection, and against residents that outlive the engine process.
	It("ends with ErrDied when the engine crashes", func() {
		s, e, _ := open(standin.EngineOptions{TokenInterval: 50 * time.Millisecond})
		before, err := e.Listing(ctx)
		Expect(err).NotTo(HaveOccurred())
		st := start(e, call("victim", "p", true))
		s.SetFaults(standin.EngineFaults{CrashMarker: "boom"})
		cause, err := e.Start(ctx, call("cause", "this goes boom", true))
		if err == nil {
			_, err = read(cause, 0)
		}
		Expect(err).To(MatchError(engine.ErrDied))
		_, err = read(st, 0)
		Expect(err).To(MatchError(engine.ErrDied))
		after, err := e.Listing(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Epoch).NotTo(Equal(before.Epoch))
		Expect(after.Resident).To(BeEmpty())
		_, err = e.Resume(ctx, call("victim", "p", true))
		Expect(err).To(MatchError(engine.ErrUnknown))
	})

	// Guards against mistaking a slow answer for an unresponsive connection: the first token takes 2 s here.
	DescribeTable("may take longer than the liveness timeout", func(stream bool) {
		_, e, _ := open(standin.EngineOptions{FirstToken: 2 * time.Second, TokenInterval: time.Millisecond})
		body, err := read(start(e, call("id", "p", stream)), 0)
		Expect(err).To(Equal(io.EOF))
		if !stream {
			Expect(json.Valid(body)).To(BeTrue())
		}
	}, Entry("streamed", true), Entry("whole", false))
})

var _ = Describe("calls", func() {
	// Guards against wrongly reporting a call as not started.
	It("distinguish a refused dial, a refusal and an unresponsive engine", func() {
		_, e, _ := open(standin.EngineOptions{})
		c := call("id", "p", true)
		c.Body = []byte(`{"model":"other"}`)
		_, err := e.Start(ctx, c)
		Expect(err).To(MatchError(engine.ErrRefused))
		_, err = connect("http://127.0.0.1:1").Start(ctx, c)
		Expect(err).To(MatchError(engine.ErrNotStarted))
		release := make(chan struct{})
		unresponsive := client(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }), nil)
		DeferCleanup(func() { close(release) })
		_, err = unresponsive.Start(ctx, c)
		Expect(err).To(MatchError(engine.ErrUnresponsive))
	})

	// Guards against bytes that are passed on as an answer: an engine in trouble sends a head that no answer has.
	DescribeTable("have an unknown outcome if the head of their answer is malformed",
		func(head string) {
			e := client(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				Expect(err).NotTo(HaveOccurred())
				_, _ = io.WriteString(c, head+"Content-Length: 4\r\n\r\nbody") // the assertion is on the reading side
				_ = c.Close()
			}), nil)
			_, err := e.Start(ctx, call("r", "p", true))
			Expect(err).To(MatchError(engine.ErrUnknown))
			Expect(e.Order(ctx, engine.Order{Kind: engine.OrderLoad, Fence: 1})).To(MatchError(engine.ErrUnknown))
			_, err = e.Listing(ctx)
			Expect(err).To(HaveOccurred())
		},
		Entry("status 000", "HTTP/1.1 000 Unknown\r\n"),
		Entry("status 101, for which no call asks", "HTTP/1.1 101 Switching Protocols\r\n"),
		Entry("a blank within the name of a field", "HTTP/1.1 200 OK\r\nX Own: 1\r\n"),
		Entry("a blank behind the name of the framing", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"),
		Entry("a control byte within the name of a field", "HTTP/1.1 200 OK\r\nX\x01Own: 1\r\n"),
	)

	// Guards against work for clients that have disconnected, and against unloading a target during a call.
	It("are cancelled after the grace period and block an unload until then", func() {
		s, e, _ := open(standin.EngineOptions{TokenInterval: 10 * time.Second, DisconnectGrace: 50 * time.Millisecond})
		st := start(e, call("id", "p", true))
		unload := engine.Order{Kind: engine.OrderUnload, Target: engine.Target{Model: "m"}, Fence: 2}
		Expect(e.Order(ctx, unload)).To(MatchError(engine.ErrRefused))
		Expect(st.Close()).To(Succeed())
		Eventually(func() uint64 { return s.Counts().Cancels }).Should(BeEquivalentTo(1))
		Expect(e.Order(ctx, unload)).To(Succeed())
	})

	// Guards against a batch that exceeds its slots, and against priorities that have no effect.
	It("run in free slots by priority", func() {
		_, e, _ := open(standin.EngineOptions{Slots: 1, TokenInterval: 30 * time.Millisecond})
		first := start(e, call("first", "p", true))
		low, high := call("low", "p", true), call("high", "p", true)
		high.Priority = 5
		lowStream, highStream := start(e, low), start(e, high)
		_, err := read(first, 0)
		Expect(err).To(Equal(io.EOF))
		_, err = read(highStream, 0)
		Expect(err).To(Equal(io.EOF))
		Expect(e.Listing(ctx)).To(HaveField("Running", 1))
		_, err = read(lowStream, 0)
		Expect(err).To(Equal(io.EOF))
	})
})

var _ = Describe("orders", func() {
	load := func(model string, fence uint64) engine.Order {
		return engine.Order{Kind: engine.OrderLoad, Target: engine.Target{Model: model}, Fence: fence}
	}

	// Guards against a stand-in that does not report overcommitted memory.
	It("over the capacity are refused and counted", func() {
		s, e, _ := open(standin.EngineOptions{MemoryBytes: 4 * gib})
		Expect(e.Order(ctx, load("big", 2))).To(MatchError(engine.ErrRefused))
		Expect(s.Counts().Overcommits).To(BeEquivalentTo(1))
	})

	// Guards against a stand-in that reproduces only one of the two kinds of engines.
	DescribeTable("with an old fencing number", func(enforce bool) {
		s, e, _ := open(standin.EngineOptions{EnforceFence: enforce})
		err := e.Order(ctx, load("big", 1))
		if enforce {
			Expect(err).To(MatchError(engine.ErrStaleFence))
		} else {
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(s.Counts().StaleFences).To(BeEquivalentTo(1))
	}, Entry("are refused", true), Entry("are executed", false))

	// Guards against a stand-in whose orders always end at once with their connection: the memory of such an order must
	// count as reserved until a listing resolves it.
	DescribeTable("whose connection closes during a load", func(linger time.Duration, want int) {
		w := standin.NewWeightStore(2 << 30)
		s := standin.NewEngine(standin.EngineOptions{Weights: w, OrderLinger: linger}, nil)
		e := client(s.Handler(), nil)
		short, cancel := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- e.Order(short, load("remote", 1)) }() // 1 GiB takes 500 ms
		Eventually(func() []engine.Resident { return s.Listing().Resident }).Should(HaveLen(1))
		cancel()
		Eventually(done).Should(Receive(MatchError(engine.ErrUnknown)))
		loadEnded := func() bool { r := s.Listing().Resident; return len(r) == 0 || !r[0].Loading }
		Eventually(loadEnded, 5*time.Second).Should(BeTrue())
		Expect(s.Listing().Resident).To(HaveLen(want))
	}, Entry("goes on", time.Second, 1), Entry("is dropped", time.Duration(0), 0))

	// Guards against reporting an order with an unknown outcome as failed or done.
	It("whose answer is lost or late have an unknown outcome and take effect", func() {
		s, e, _ := open(standin.EngineOptions{})
		s.SetFaults(standin.EngineFaults{LoseOrders: 1})
		Expect(e.Order(ctx, load("big", 2))).To(MatchError(engine.ErrUnknown))
		Expect(e.Listing(ctx)).To(HaveField("Resident", HaveLen(2)))
		s.SetFaults(standin.EngineFaults{OrderDelayMS: 300})
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		Expect(e.Order(short, engine.Order{Kind: engine.OrderUnload, Target: engine.Target{Model: "big"}, Fence: 3})).To(MatchError(engine.ErrUnknown))
		Eventually(func() []engine.Resident { return s.Listing().Resident }).Should(HaveLen(1))
		Expect(connect("http://127.0.0.1:1").Order(ctx, load("big", 4))).To(MatchError(engine.ErrNotStarted))
	})
})

// FuzzText guards against prefixes that crash Text, and against a wrong text for a prefix without events.
func FuzzText(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"cho"))
	f.Add([]byte("text only"))
	f.Fuzz(func(t *testing.T, prefix []byte) {
		text, _ := openai.Text(prefix)
		if !bytes.HasPrefix(prefix, []byte("data: ")) && !bytes.HasPrefix([]byte("data: "), prefix) && text != string(prefix) {
			t.Fatalf("text %q of bare prefix %q", text, prefix)
		}
	})
}
