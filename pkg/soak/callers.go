package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

const (
	// answerMargin is the time after a request's timeout within which its answer is still accepted.
	answerMargin = 500 * time.Millisecond
	// largeBodyBytes is the size of a large body. No buffer on its way holds it.
	largeBodyBytes = 900 << 10
	// maxRetryAfter is the longest time that a caller waits before its next request.
	maxRetryAfter = time.Second
	// runnerDisturbanceGrace is how long after a runner was disturbed connections may still be interrupted.
	runnerDisturbanceGrace = 500 * time.Millisecond
)

// caller sends requests one after the other. It reuses each connection until it is closed or its process ends, and
// sends requests only to entries that are in the balancer's rotation.
type caller struct {
	world      *world
	index      int
	random     *rand.Rand
	clients    []*http.Client
	inRotation func(int) bool
	measuring  bool // outcomes are counted in stats
	stats      *stats
}

// stats counts the outcomes of requests after the recovery time.
type stats struct {
	mu           sync.Mutex
	sent, served int
}

func (w *world) newCaller(n int, inRotation func(int) bool, s *stats) *caller {
	c := &caller{world: w, inRotation: inRotation, index: n, random: rand.New(rand.NewPCG(w.options.Seed, uint64(100+n))), stats: s}
	for range w.shape.allEntries() {
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}})
	}
	return c
}

// run sends requests until ctx ends and completes the last one. recovered is closed after the recovery time.
func (c *caller) run(ctx context.Context, recovered <-chan struct{}) {
	for seq := 0; ctx.Err() == nil; seq++ {
		select {
		case <-recovered:
			c.measuring = true
		default:
		}
		entry := c.random.IntN(len(c.clients))
		if c.inRotation(entry) {
			c.send(entry, fmt.Sprintf("%x-%d-%d", c.world.options.Seed, c.index, seq))
		}
		time.Sleep(c.world.shape.RequestInterval)
	}
}

// request is a request of a caller and what its answer is checked against.
type request struct {
	id, kind, method, path string
	events                 int // of a stream; 0 for other requests
	body                   []byte
	model, parts           string
	timeout                time.Duration
	entry                  int
	start                  time.Time
	from                   int       // the last event that the caller had before, if it resumes a stream
	resumed                string    // the request whose stream it resumes
	resumptions            int       // of the first request, with this one
	activeFrom             time.Time // a route of the newest configuration has to be active from then on
}

// send sends one request of a random kind and checks its answer.
func (c *caller) send(entry int, id string) {
	kinds := c.world.shape.Mix
	if c.world.options.RemoveEngines {
		kinds = streams(kinds)
	}
	drawn := kinds[c.random.IntN(len(kinds))]
	r := &request{id: id, kind: drawn.Route, entry: entry, events: drawn.Events, method: http.MethodGet}
	r.path = fmt.Sprintf("/%s/%d//x%%2f?q=%d", r.kind, c.index, c.random.IntN(100))
	if r.events > 0 && r.events != standin.EventsPerStream {
		r.path += standin.EventsQuery(r.events)
	}
	if r.kind == "new" {
		r.path, r.activeFrom = c.world.newestRoute(time.Now())
	}
	if r.kind != "lookup" && r.kind != "new" {
		r.method, r.body = http.MethodPost, bytes.Repeat([]byte(id), 1+c.random.IntN(200))
		if n := c.world.shape.LargeBodies; n > 0 && c.random.IntN(n) == 0 {
			r.body = bytes.Repeat([]byte(id), largeBodyBytes/len(id))
		}
	}
	r.timeout = 1500*time.Millisecond + time.Duration(c.random.IntN(3000))*time.Millisecond
	if r.events > 0 {
		r.model = fmt.Sprintf("m%d", c.random.IntN(len(modelSizes)))
		if c.random.IntN(3) == 0 {
			r.model += fmt.Sprintf("/a%d", 1+c.random.IntN(4))
		}
		r.parts = fmt.Sprintf("s1:400,t%d:300,%x:200", c.random.IntN(3), c.random.IntN(1<<20))
	}
	c.exchange(r)
}

// exchange sends a request and checks its answer.
func (c *caller) exchange(r *request) {
	req, err := http.NewRequest(r.method, "http://"+c.world.entryAddresses[r.entry]+r.path, bytes.NewReader(r.body))
	if err != nil {
		panic(err) // all paths of the soak are valid
	}
	req.Host = standin.Host
	standin.SetRequestHeader(req.Header, r.id, r.timeout, r.model, r.parts)
	c.world.check.recordSent(r.id, r.kind, r.path, r.body)
	c.world.check.recordSender(r.id, r.entry, r.timeout, "")
	c.setKey(req.Header, r.id)
	if r.from > 0 {
		standin.SetLastEvent(req.Header, r.from)
	}
	c.world.check.recordEntry(r.id, r.entry)
	r.start = time.Now()
	resp, err := c.clients[r.entry].Do(req)
	if err != nil {
		c.recordEnd(r, "no answer", err)
		return
	}
	c.world.check.recordLimit(r.entry, resp.Header, time.Now())
	answer, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	c.checkResponse(r, resp, answer, err)
	if after, perr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); perr == nil && c.world.shape.HonourRetryAfter {
		time.Sleep(min(time.Duration(after*float64(time.Second)), maxRetryAfter))
	}
	c.recordEnd(r, strconv.Itoa(resp.StatusCode), err)
	if resp.StatusCode == http.StatusOK && r.events > 0 {
		if last := c.checkStream(r, string(answer), err); err != nil {
			c.resume(r, last)
		}
	}
}

// checkResponse checks an answer against its request.
func (c *caller) checkResponse(r *request, resp *http.Response, answer []byte, err error) {
	check := c.world.check
	if got := standin.AnswerID(resp.Header); got != "" && got != r.id {
		check.recordViolation("mixed", fmt.Sprintf("%s got the answer to %s", r.id, got))
	}
	switch {
	case resp.StatusCode == http.StatusOK && err == nil:
		c.checkBody(r, resp, answer)
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		check.recordRefusal(r.id)
	case resp.StatusCode == http.StatusUnauthorized:
		c.checkUnauthorized(r.kind, r.id)
	case resp.StatusCode == http.StatusNotFound && !standin.Signed(resp.Header): // else it is the runner's own answer
		proc := c.world.processes[r.entry]
		if r.kind != "new" {
			check.recordViolation("denied", fmt.Sprintf("%s %s was answered 404", r.kind, r.id))
		} else if r.start.After(r.activeFrom) && proc.undisturbedSince(r.start.Add(-disturbanceGrace)) && c.world.storeUndisturbedSince(r.start.Add(-disturbanceGrace)) {
			check.recordViolation("config", fmt.Sprintf("%s: route of %s is not active at %s", r.id, r.path, proc.name))
		}
	}
}

// checkBody checks that a successful answer belongs to the request and is complete and stamped.
func (c *caller) checkBody(r *request, resp *http.Response, answer []byte) {
	want := fmt.Sprintf("%s %s %x", r.id, r.path, xxhash.Sum64(r.body))
	switch {
	case r.events > 0: // checkStream checks the body
	case string(answer) == want:
	case bytes.HasPrefix([]byte(want), answer):
		c.world.check.recordViolation("order", fmt.Sprintf("%s %s: truncated answer looks complete: got %q", r.kind, r.id, answer))
	default:
		c.world.check.recordViolation("mixed", fmt.Sprintf("%s %s: got %q", r.kind, r.id, answer))
	}
	if !standin.Signed(resp.Header) {
		c.world.check.recordViolation("mixed", fmt.Sprintf("%s %s: successful answer has no stamp", r.kind, r.id))
	}
}

// recordEnd checks a request's duration and how its connection ended, and counts its outcome.
func (c *caller) recordEnd(r *request, outcome string, err error) {
	elapsed := time.Since(r.start)
	if elapsed > r.timeout+answerMargin && c.world.processes[r.entry].undisturbedSince(r.start.Add(-disturbanceGrace)) && !errors.Is(err, io.EOF) {
		c.world.check.recordViolation("late", fmt.Sprintf("%s %s ended after %s with a timeout of %s: %s %v", r.kind, r.id, elapsed, r.timeout, outcome, err))
	}
	if errors.Is(err, syscall.ECONNREFUSED) && c.world.processes[r.entry].balancerUnaware(time.Now()) {
		c.world.check.recordViolation("lost", fmt.Sprintf("%s refused %s %s before the balancer could detect its stop", c.world.processes[r.entry].name, r.kind, r.id))
	}
	lost := err != nil && elapsed < r.timeout && c.world.check.hasRun(r.id) && c.world.processes[r.entry].inPlannedStop(time.Now())
	if lost && c.world.runnersUndisturbedSince(r.start.Add(-runnerDisturbanceGrace)) {
		c.world.check.recordViolation("lost", fmt.Sprintf("%s %s ran but got no complete answer while %s stopped: %v", r.kind, r.id, c.world.processes[r.entry].name, err))
	}
	if err != nil && outcome != "no answer" {
		outcome += " cut"
	}
	c.world.check.countOutcome(r.id, r.kind, outcome)
	if !c.measuring {
		return
	}
	c.stats.mu.Lock()
	defer c.stats.mu.Unlock()
	c.stats.sent++
	if outcome == "200" {
		c.stats.served++
	}
}
