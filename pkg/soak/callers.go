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
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

const (
	numCallers = 8
	// answerMargin is the time after a request's timeout within which its answer is still accepted.
	answerMargin    = 500 * time.Millisecond
	requestInterval = 25 * time.Millisecond
	// runnerDisturbanceGrace is how long after a runner was disturbed connections may still be interrupted.
	runnerDisturbanceGrace = 500 * time.Millisecond
)

var (
	streamKinds  = []string{"report", "chat"}
	requestKinds = append(streamKinds[:len(streamKinds):len(streamKinds)], "loan", "lookup", "new")
)

// caller sends requests one after the other. It reuses each connection until it is closed or its process ends, and
// sends requests only to entries that are in the balancer's rotation.
type caller struct {
	world     *world
	index     int
	random    *rand.Rand
	clients   []*http.Client
	measuring bool // outcomes are counted in stats
	stats     *stats
}

// stats counts the outcomes of requests after the recovery time.
type stats struct {
	mu           sync.Mutex
	sent, served int
}

func (w *world) newCaller(n int, s *stats) *caller {
	c := &caller{world: w, index: n, random: rand.New(rand.NewPCG(w.options.Seed, uint64(100+n))), stats: s}
	for range numEntries {
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}})
	}
	return c
}

// run sends requests until ctx ends and completes the last one. recovered is closed after the recovery time.
func (c *caller) run(ctx context.Context, inRotation func(int) bool, recovered <-chan struct{}) {
	for seq := 0; ctx.Err() == nil; seq++ {
		select {
		case <-recovered:
			c.measuring = true
		default:
		}
		entry := c.random.IntN(numEntries)
		if inRotation(entry) {
			c.send(entry, fmt.Sprintf("%x-%d-%d", c.world.options.Seed, c.index, seq))
		}
		time.Sleep(requestInterval)
	}
}

// send sends one request of a random kind and checks its answer.
func (c *caller) send(entry int, id string) {
	kinds := requestKinds
	if c.world.options.RemoveEngines {
		kinds = streamKinds
	}
	kind := kinds[c.random.IntN(len(kinds))]
	path, activeFrom := fmt.Sprintf("/%s/%d//x%%2f?q=%d", kind, c.index, c.random.IntN(100)), time.Time{}
	if kind == "new" {
		path, activeFrom = c.world.newestRoute(time.Now())
	}
	var body []byte
	method := http.MethodGet
	if kind != "lookup" && kind != "new" {
		method, body = http.MethodPost, bytes.Repeat([]byte(id), 1+c.random.IntN(200))
	}
	timeout := 1500*time.Millisecond + time.Duration(c.random.IntN(3000))*time.Millisecond
	req, err := http.NewRequest(method, "http://"+c.world.entryAddresses[entry]+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // all paths of the soak are valid
	}
	req.Host = standin.Host
	model, parts := "", ""
	if kind == "report" || kind == "chat" {
		model = fmt.Sprintf("m%d", c.random.IntN(len(modelSizes)))
		if c.random.IntN(3) == 0 {
			model += fmt.Sprintf("/a%d", 1+c.random.IntN(4))
		}
		parts = fmt.Sprintf("s1:400,t%d:300,%x:200", c.random.IntN(3), c.random.IntN(1<<20))
	}
	standin.SetRequestHeader(req.Header, id, timeout, model, parts)
	c.world.check.recordSent(id, kind, path, body)
	c.world.check.recordEntry(id, entry)
	c.setKey(req.Header, id)
	start := time.Now()
	resp, err := c.clients[entry].Do(req)
	if err != nil {
		c.recordEnd(entry, kind, id, start, timeout, "no answer", err)
		return
	}
	c.world.check.recordLimit(entry, resp.Header, time.Now())
	answer, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	c.checkResponse(entry, kind, id, path, body, resp, answer, err, start, activeFrom)
	c.recordEnd(entry, kind, id, start, timeout, strconv.Itoa(resp.StatusCode), err)
}

// checkResponse checks an answer against its request. A route of the newest configuration must be active from
// activeFrom on.
func (c *caller) checkResponse(entry int, kind, id, path string, body []byte, resp *http.Response, answer []byte, err error, start, activeFrom time.Time) {
	check := c.world.check
	if got := standin.AnswerID(resp.Header); got != "" && got != id {
		check.recordViolation("mixed", fmt.Sprintf("%s got the answer to %s", id, got))
	}
	switch {
	case resp.StatusCode == http.StatusOK && err == nil:
		c.checkBody(kind, id, path, body, resp, answer)
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		check.recordRefusal(id)
	case resp.StatusCode == http.StatusUnauthorized:
		c.checkUnauthorized(kind, id)
	case resp.StatusCode == http.StatusNotFound:
		proc := c.world.processes[entry]
		if kind != "new" {
			check.recordViolation("denied", fmt.Sprintf("%s %s was answered 404", kind, id))
		} else if start.After(activeFrom) && proc.undisturbedSince(start.Add(-disturbanceGrace)) && c.world.storeUndisturbedSince(start.Add(-disturbanceGrace)) {
			check.recordViolation("config", fmt.Sprintf("%s: route of %s is not active at %s", id, path, proc.name))
		}
	}
}

// checkBody checks that a successful answer belongs to the request and is complete and stamped.
func (c *caller) checkBody(kind, id, path string, body []byte, resp *http.Response, answer []byte) {
	want := fmt.Sprintf("%s %s %x", id, path, xxhash.Sum64(body))
	if kind == "report" || kind == "chat" {
		var b strings.Builder
		for i := 1; i <= standin.EventsPerStream; i++ {
			fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", i, id, i)
		}
		want = b.String()
	}
	switch {
	case strings.HasPrefix(want, string(answer)) && string(answer) != want:
		c.world.check.recordViolation("order", fmt.Sprintf("%s %s: truncated answer looks complete: got %q", kind, id, answer))
	case string(answer) != want:
		c.world.check.recordViolation("mixed", fmt.Sprintf("%s %s: got %q", kind, id, answer))
	case !standin.Signed(resp.Header):
		c.world.check.recordViolation("mixed", fmt.Sprintf("%s %s: successful answer has no stamp", kind, id))
	}
}

// recordEnd checks a request's duration and how its connection ended, and counts its outcome.
func (c *caller) recordEnd(entry int, kind, id string, start time.Time, timeout time.Duration, outcome string, err error) {
	elapsed := time.Since(start)
	if elapsed > timeout+answerMargin && c.world.processes[entry].undisturbedSince(start.Add(-disturbanceGrace)) && !errors.Is(err, io.EOF) {
		c.world.check.recordViolation("late", fmt.Sprintf("%s %s ended after %s with a timeout of %s: %s %v", kind, id, elapsed, timeout, outcome, err))
	}
	if errors.Is(err, syscall.ECONNREFUSED) && c.world.processes[entry].balancerUnaware(time.Now()) {
		c.world.check.recordViolation("lost", fmt.Sprintf("%s refused %s %s before the balancer could detect its stop", c.world.processes[entry].name, kind, id))
	}
	lost := err != nil && elapsed < timeout && c.world.check.hasRun(id) && c.world.processes[entry].inPlannedStop(time.Now())
	if lost && c.world.runnersUndisturbedSince(start.Add(-runnerDisturbanceGrace)) {
		c.world.check.recordViolation("lost", fmt.Sprintf("%s %s ran but got no complete answer while %s stopped: %v", kind, id, c.world.processes[entry].name, err))
	}
	if err != nil && outcome != "no answer" {
		outcome += " cut"
	}
	c.world.check.countOutcome(kind, outcome)
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
