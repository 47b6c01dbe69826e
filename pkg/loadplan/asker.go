package loadplan

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
)

const (
	// AnswerLimit is how long an agent waits for a first sign of the coordinator before it loads under its own limit.
	AnswerLimit = 250 * time.Millisecond
	// SignLimit is how long a coordinator that has queued the ask may stay silent afterwards.
	SignLimit = engine.SilenceLimit
	// OwnLimit is how many loads an agent runs at once without a coordinator's answer.
	OwnLimit = 1
	// StoreAdapterLoads is how many adapter loads the weight store serves at once at full speed.
	StoreAdapterLoads = 30
)

// AdapterCap returns how many adapter loads an agent runs at once when the given number of upstreams share the store.
func AdapterCap(upstreams int) int { return max(1, StoreAdapterLoads/max(1, upstreams)) }

// Asker decides at one agent when a load may start: with the coordinator's place, or without it after a silence.
type Asker struct{ asks map[string]*pending }

type pending struct {
	silent time.Time // when the coordinator counts as silent
	queued bool
	given  bool
	own    bool // loads under the agent's own limit
	local  bool // asked of the coordinator in this process
}

// Ask records that a place was asked for. Local says that the coordinator is part of this process: once it has queued
// the ask, it can not fall silent.
func (a *Asker) Ask(now time.Time, id string, local bool) {
	if a.asks == nil {
		a.asks = map[string]*pending{}
	}
	a.asks[id] = &pending{silent: now.Add(AnswerLimit), local: local}
}

// Queued records a sign of the coordinator: it has the ask in its queue.
func (a *Asker) Queued(now time.Time, id string) {
	if p := a.asks[id]; p != nil {
		p.silent, p.queued = now.Add(SignLimit), true
	}
}

// Given records the coordinator's answer. It returns false for an ask that is no longer known; its place has to be
// returned.
func (a *Asker) Given(id string) bool {
	p := a.asks[id]
	if p == nil {
		return false
	}
	p.given = true
	return true
}

// May reports whether the load of an ask may start. Without a place it takes up the agent's own limit until End.
func (a *Asker) May(now time.Time, id string) bool {
	p := a.asks[id]
	if p == nil {
		return false
	}
	if p.given || p.own {
		return true
	}
	if now.Before(p.silent) || p.local && p.queued || a.own() >= OwnLimit {
		return false
	}
	p.own = true
	return true
}

func (a *Asker) own() int {
	n := 0
	for _, p := range a.asks {
		if p.own && !p.given {
			n++
		}
	}
	return n
}

// End forgets an ask whose load ended or was given up.
func (a *Asker) End(id string) { delete(a.asks, id) }
