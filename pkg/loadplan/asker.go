package loadplan

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
)

const (
	// FirstReplyTimeout is how long an agent waits for a first sign of the coordinator before it loads under its own limit.
	FirstReplyTimeout = 250 * time.Millisecond
	// LivenessTimeout is how long a coordinator that has queued the ask may stay silent afterwards.
	LivenessTimeout = engine.LivenessTimeout
	// LocalLoadLimit is how many loads an agent runs at once without a coordinator's answer.
	LocalLoadLimit = 1
	// StoreAdapterLoads is how many adapter loads the weight store serves at once at full speed.
	StoreAdapterLoads = 30
)

// AdapterCap returns how many adapter loads an agent runs at once when the given number of upstreams share the store.
func AdapterCap(upstreams int) int { return max(1, StoreAdapterLoads/max(1, upstreams)) }

// PermitClient decides at one agent when a load may start: with the coordinator's place, or without it after a silence.
type PermitClient struct{ asks map[string]*pending }

type pending struct {
	silent time.Time // when the coordinator counts as silent
	queued bool
	given  bool
	own    bool // loads under the agent's own limit
	local  bool // asked of the coordinator in this process
}

// Ask records that a place was asked for. Local says that the coordinator is part of this process: once it has queued
// the ask, it can not fall silent.
func (a *PermitClient) Ask(now time.Time, id string, local bool) {
	if a.asks == nil {
		a.asks = map[string]*pending{}
	}
	a.asks[id] = &pending{silent: now.Add(FirstReplyTimeout), local: local}
}

// RecordQueued records a sign of the coordinator: it has the ask in its queue.
func (a *PermitClient) RecordQueued(now time.Time, id string) {
	if p := a.asks[id]; p != nil {
		p.silent, p.queued = now.Add(LivenessTimeout), true
	}
}

// RecordIssued records the coordinator's answer. It returns false for an ask that is no longer known; its place has to be
// returned.
func (a *PermitClient) RecordIssued(id string) bool {
	p := a.asks[id]
	if p == nil {
		return false
	}
	p.given = true
	return true
}

// MayStart reports whether the load of an ask may start. Without a place it takes up the agent's own limit until End.
func (a *PermitClient) MayStart(now time.Time, id string) bool {
	p := a.asks[id]
	if p == nil {
		return false
	}
	if p.given || p.own {
		return true
	}
	if now.Before(p.silent) || p.local && p.queued || a.own() >= LocalLoadLimit {
		return false
	}
	p.own = true
	return true
}

func (a *PermitClient) own() int {
	n := 0
	for _, p := range a.asks {
		if p.own && !p.given {
			n++
		}
	}
	return n
}

// End forgets an ask whose load ended or was given up.
func (a *PermitClient) End(id string) { delete(a.asks, id) }
