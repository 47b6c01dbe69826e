package loadplan

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
)

const (
	// FirstReplyTimeout is how long an agent waits for the coordinator's first reply before it loads under its local
	// limit.
	FirstReplyTimeout = 250 * time.Millisecond
	// LivenessTimeout is how long a coordinator that has queued the request may be unresponsive afterwards.
	LivenessTimeout = engine.LivenessTimeout
	// LocalLoadLimit is the number of concurrent loads that an agent runs without the coordinator's permits.
	LocalLoadLimit = 1
	// StoreAdapterLoadLimit is the number of concurrent adapter loads that the weight store serves at full speed.
	StoreAdapterLoadLimit = 30
)

// AdapterLoadLimit returns how many adapter loads an agent runs concurrently when the given number of upstreams share
// the store.
func AdapterLoadLimit(upstreams int) int { return max(1, StoreAdapterLoadLimit/max(1, upstreams)) }

// PermitClient decides at one agent when a load may start: with the coordinator's permit, or without one if the
// coordinator is unresponsive.
type PermitClient struct{ requests map[string]*pending }

type pending struct {
	unresponsiveAt  time.Time // when the coordinator counts as unresponsive
	queued          bool
	issued          bool
	underLocalLimit bool // loads without a permit, under LocalLoadLimit
	local           bool // the coordinator is part of this process
}

// RecordRequest records that a permit was requested. The argument local reports whether the coordinator is part of this
// process; such a coordinator cannot become unresponsive once it has queued the request.
func (c *PermitClient) RecordRequest(now time.Time, id string, local bool) {
	if c.requests == nil {
		c.requests = map[string]*pending{}
	}
	c.requests[id] = &pending{unresponsiveAt: now.Add(FirstReplyTimeout), local: local}
}

// RecordQueued records the coordinator's reply that the request is queued.
func (c *PermitClient) RecordQueued(now time.Time, id string) {
	if p := c.requests[id]; p != nil {
		p.unresponsiveAt, p.queued = now.Add(LivenessTimeout), true
	}
}

// RecordIssued records that the coordinator issued a permit. It returns false if the load has ended or was aborted; its
// permit has to be released.
func (c *PermitClient) RecordIssued(id string) bool {
	p := c.requests[id]
	if p == nil {
		return false
	}
	p.issued = true
	return true
}

// MayStart reports whether the load of a request may start. A load without a permit counts against LocalLoadLimit
// until End.
func (c *PermitClient) MayStart(now time.Time, id string) bool {
	p := c.requests[id]
	if p == nil {
		return false
	}
	if p.issued || p.underLocalLimit {
		return true
	}
	if now.Before(p.unresponsiveAt) || p.local && p.queued || c.localLoads() >= LocalLoadLimit {
		return false
	}
	p.underLocalLimit = true
	return true
}

// localLoads returns the number of loads that run without a permit.
func (c *PermitClient) localLoads() int {
	n := 0
	for _, p := range c.requests {
		if p.underLocalLimit && !p.issued {
			n++
		}
	}
	return n
}

// End forgets a request whose load ended or was aborted.
func (c *PermitClient) End(id string) { delete(c.requests, id) }
