package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// sentRequest records a request that a caller has sent, and its runs.
type sentRequest struct {
	kind, target string
	arrived      bool // a runner has received it
	bodyHash     uint64
	runs         int
	runners      map[string]int
	key          string
	sentAt       time.Time // set with the key
	entry        int
	sent         time.Time // set with the entry
	timeout      time.Duration
	cause        string    // what it crashes runners with
	firstAt      time.Time // of its first arrival, firstEnd the end of its deadline then
	ended        bool      // the caller has an answer, or none will come
	firstEnd     time.Time
	refused      bool // the answer was a refusal: the request has not run and never will
}

// checker collects the observations of callers and runners and detects violations of the system's guarantees.
type checker struct {
	mu       sync.Mutex
	requests map[string]*sentRequest
	arrivals []arrival
	// requestTimes and repeatTimes are the times of the requests and of their arrivals beyond the first, by service.
	requestTimes, repeatTimes map[string][]time.Time
	violations                []string
	shape                     Shape
	turnedAway                []turnedAway
	deadlines                 deadlines
	lateArrivals              int
	crashes                   map[string][]time.Time // by cause
	disturbedAt               func(entry int) time.Time
	streams                   []*streamRecord // that broke a rule
	streamRuns                map[string][]standin.StreamRun
	outcomes                  map[string]int
	keys                      *keyring // nil if the configuration has no tenants
	limits                    *rateLimits
}

// arrival is the arrival of a request at a runner.
type arrival struct {
	runner string
	at     time.Time
	entry  int    // that the caller has sent it to
	cause  string // what it crashes runners with
	// entryDisturbed is when the entry was disturbed last.
	entryDisturbed time.Time
}

func newChecker(s Shape) *checker {
	return &checker{shape: s.withDefaults(), crashes: map[string][]time.Time{}, streamRuns: map[string][]standin.StreamRun{}, requests: map[string]*sentRequest{}, limits: newRateLimits(), outcomes: map[string]int{}, requestTimes: map[string][]time.Time{}, repeatTimes: map[string][]time.Time{}}
}

func (c *checker) recordViolation(rule, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolationLocked(rule, detail)
}

func (c *checker) recordViolationLocked(rule, detail string) {
	c.violations = append(c.violations, fmt.Sprintf("%s %s: %s", time.Now().Format("15:04:05.000"), rule, detail))
}

// recordSent records a request. It is called before the request is sent.
func (c *checker) recordSent(id, kind, target string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestTimes[serviceOf(kind)] = append(c.requestTimes[serviceOf(kind)], time.Now())
	c.requests[id] = &sentRequest{kind: kind, target: target, bodyHash: xxhash.Sum64(body), runners: map[string]int{}}
}

// recordRefusal records an answer that asserts that the request has not run.
func (c *checker) recordRefusal(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[id]
	s.refused = true
	if s.runs > 0 && !c.shape.retryable(s.kind) {
		c.recordViolationLocked("refused", fmt.Sprintf("%s %s was refused although it had run", s.kind, id))
	}
}

// hasRun reports whether a runner has started to run the request.
func (c *checker) hasRun(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id].runs > 0
}

func (c *checker) countOutcome(id, kind, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[kind+" "+outcome]++
	c.requests[id].ended = true
}

// retryable reports whether requests of a kind may run more than once.
func (s Shape) retryable(kind string) bool {
	return kind != "loan" && kind != "chat" && (kind != "report" || s.resumable(kind))
}

// resumable reports whether streams of a kind may be resumed.
func (s Shape) resumable(kind string) bool { return kind == "report" && !s.NotResumable }

// observer returns the callbacks through which runners report to the checker.
func (c *checker) observer() standin.Observer {
	return standin.Observer{
		RequestArrived: c.recordArrival, TurnedAway: c.recordTurnedAway, DeadlineReceived: c.recordDeadline, BodyReadOn: c.recordBodyReadOn,
		RequestRan: c.recordRun,
		RuleBroken: c.recordViolation, StreamEnded: c.recordStreamRun,
	}
}

// recordRun records that a runner has started to run a request, and checks that it may.
func (c *checker) recordRun(id, runner, target string, body uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[id]
	if s == nil {
		c.recordViolationLocked("unasked", fmt.Sprintf("%s ran request %q, which no caller sent", runner, id))
		return
	}
	s.runs++
	if s.cause != "" {
		c.crashes[s.cause] = append(c.crashes[s.cause], time.Now())
	}
	s.runners[runner]++
	switch {
	case c.keys != nil && !c.keys.mayRun(s.key, s.sentAt):
		c.recordViolationLocked("revoked", fmt.Sprintf("%s %s ran with key %q, which had been withdrawn", s.kind, id, s.key))
	case s.target != target || s.bodyHash != body:
		c.recordViolationLocked("unasked", fmt.Sprintf("%s ran %s with target %s or another body", runner, id, target))
	case s.refused && !c.shape.retryable(s.kind):
		c.recordViolationLocked("refused", fmt.Sprintf("%s %s ran after it had been refused", s.kind, id))
	case s.runs > 1 && !c.shape.retryable(s.kind):
		c.recordViolationLocked("twice", fmt.Sprintf("%s %s ran %d times: %v", s.kind, id, s.runs, s.runners))
	case s.runs > c.shape.MaxAttempts:
		c.recordViolationLocked("attempts", fmt.Sprintf("%s %s ran %d times: %v", s.kind, id, s.runs, s.runners))
	}
}

// recordBodyReadOn checks a body that a runner has read after it had rejected the request.
func (c *checker) recordBodyReadOn(id, runner string, body uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.requests[id]; s != nil && s.bodyHash != body {
		c.recordViolationLocked("unasked", fmt.Sprintf("%s read other bytes where the rest of the body of %s was due", runner, id))
	}
}

// lastArrival returns the time at which the last request reached the runner, or the zero time if none did.
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

// runsOf returns the number of runs of all requests whose path ends with suffix.
func (c *checker) runsOf(suffix string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := 0
	for _, s := range c.requests {
		if strings.HasSuffix(s.target, suffix) {
			runs += s.runs
		}
	}
	return runs
}
