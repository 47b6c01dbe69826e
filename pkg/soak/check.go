package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// sent is a request as a caller sent it.
type sent struct {
	kind, target string
	body         uint64
	runs         int
	runners      map[string]int
	promised     bool // the caller was told that it has not run and never will
}

// checker holds what callers and runners have seen and finds broken promises.
type checker struct {
	mu       sync.Mutex
	requests map[string]*sent
	arrivals []arrival
	violated []string
	outcomes map[string]int
}

type arrival struct {
	runner string
	at     time.Time
}

func newChecker() *checker {
	return &checker{requests: map[string]*sent{}, outcomes: map[string]int{}}
}

func (c *checker) broken(rule, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.brokenLocked(rule, detail)
}

func (c *checker) brokenLocked(rule, detail string) {
	c.violated = append(c.violated, fmt.Sprintf("%s %s: %s", time.Now().Format("15:04:05.000"), rule, detail))
}

// sending records a request before it is sent.
func (c *checker) sending(id, kind, target string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &sent{kind: kind, target: target, body: xxhash.Sum64(body), runners: map[string]int{}}
}

// promise records that the caller was told that the request has not run.
func (c *checker) promise(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[id]
	s.promised = true
	if s.runs > 0 && !repeatable(s.kind) {
		c.brokenLocked("refused", fmt.Sprintf("%s %s was refused though it had run", s.kind, id))
	}
}

// ranOnce reports whether a runner has begun to run the request.
func (c *checker) ranOnce(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id].runs > 0
}

func (c *checker) outcome(kind, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[kind+" "+what]++
}

func repeatable(kind string) bool { return kind != "loan" && kind != "chat" }

// record returns what runners report to.
func (c *checker) record() standin.Observer {
	return standin.Observer{
		RequestArrived: func(_, runner string, at time.Time) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.arrivals = append(c.arrivals, arrival{runner: runner, at: at})
		},
		RequestRan: c.ran,
		RuleBroken: c.broken,
	}
}

func (c *checker) ran(id, runner, target string, body uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[id]
	if s == nil {
		c.brokenLocked("unasked", fmt.Sprintf("%s ran request %q, which no caller sent", runner, id))
		return
	}
	s.runs++
	s.runners[runner]++
	switch {
	case s.target != target || s.body != body:
		c.brokenLocked("unasked", fmt.Sprintf("%s ran %s with target %s or another body", runner, id, target))
	case s.promised && !repeatable(s.kind):
		c.brokenLocked("refused", fmt.Sprintf("%s %s ran after its caller was told that it never would", s.kind, id))
	case s.runs > 1 && !repeatable(s.kind):
		c.brokenLocked("twice", fmt.Sprintf("%s %s ran %d times: %v", s.kind, id, s.runs, s.runners))
	case s.runs > 2:
		c.brokenLocked("attempts", fmt.Sprintf("%s %s ran %d times: %v", s.kind, id, s.runs, s.runners))
	}
}

// lastArrival returns when the last request reached the runner.
func (c *checker) lastArrival(runner string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.arrivals) - 1; i >= 0; i-- {
		if c.arrivals[i].runner == runner {
			return c.arrivals[i].at
		}
	}
	return time.Time{}
}
