package loadplan

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
)

const (
	// FirstReplyTimeout is how long an agent waits for a first sign of the coordinator before it loads under its own limit.
	FirstReplyTimeout = 250 * time.Millisecond
	// LivenessTimeout is how long a coordinator that has queued the ask may stay silent afterwards.
	LivenessTimeout = engine.SilenceLimit
	// LocalLoadLimit is how many loads an agent runs at once without a coordinator's answer.
	LocalLoadLimit = 1
	// StoreAdapterLoads is how many adapter loads the weight store serves at once at full speed.
	StoreAdapterLoads = 30
)

// AdapterCap returns how many adapter loads an agent runs at once when the given number of upstreams share the store.
func AdapterCap(upstreams int) int { return max(1, StoreAdapterLoads/max(1, upstreams)) }

// PermitClient decides at one agent when a load may start: with the coordinator's place, or without it after a silence.
type PermitClient struct{ requests map[string]*pending }

type pending struct {
	unresponsiveAt  time.Time // when the coordinator counts as silent
	queued          bool
	issued          bool
	underLocalLimit bool // loads under the agent's own limit
	local           bool // asked of the coordinator in this process
}

// Ask records that a place was asked for. Local says that the coordinator is part of this process: once it has queued
// the ask, it can not fall silent.
func (a *PermitClient) Ask(now time.Time, id string, local bool) {
	if a.requests == nil {
		a.requests = map[string]*pending{}
	}
	a.requests[id] = &pending{unresponsiveAt: now.Add(FirstReplyTimeout), local: local}
}

// RecordQueued records a sign of the coordinator: it has the ask in its queue.
func (a *PermitClient) RecordQueued(now time.Time, id string) {
	if p := a.requests[id]; p != nil {
		p.unresponsiveAt, p.queued = now.Add(LivenessTimeout), true
	}
}

// RecordIssued records the coordinator's answer. It returns false for an ask that is no longer known; its place has to be
// returned.
func (a *PermitClient) RecordIssued(id string) bool {
	p := a.requests[id]
	if p == nil {
		return false
	}
	p.issued = true
	return true
}

// MayStart reports whether the load of an ask may start. Without a place it takes up the agent's own limit until End.
func (a *PermitClient) MayStart(now time.Time, id string) bool {
	p := a.requests[id]
	if p == nil {
		return false
	}
	if p.issued || p.underLocalLimit {
		return true
	}
	if now.Before(p.unresponsiveAt) || p.local && p.queued || a.localLoads() >= LocalLoadLimit {
		return false
	}
	p.underLocalLimit = true
	return true
}

func (a *PermitClient) localLoads() int {
	n := 0
	for _, p := range a.requests {
		if p.underLocalLimit && !p.issued {
			n++
		}
	}
	return n
}

// End forgets an ask whose load ended or was given up.
func (a *PermitClient) End(id string) { delete(a.requests, id) }
