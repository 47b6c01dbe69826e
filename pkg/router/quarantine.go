package router

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/confsync"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// quarantineReceived is the event that a peer sent its quarantine list; exchangeRequested that a peer's list differs
// from this router's.
type (
	quarantineReceived struct{ entries []wire.QuarantineEntry }
	exchangeRequested  struct{ addr string }
)

// exchangeInterval is the minimum time between two exchanges that this router starts. Each ping carries the peer's
// hash.
const exchangeInterval = 2 * time.Second

// quarantineList shares the quarantine list between the control loop and the requests.
type quarantineList struct {
	mu           sync.Mutex
	state        *quarantine.State
	lastExchange time.Time // start of the last exchange
}

func (q *quarantineList) hash() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Hash()
}

func (q *quarantineList) contains(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.IsQuarantined(fingerprint)
}

func (q *quarantineList) entries() []wire.QuarantineEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Entries()
}

func (q *quarantineList) merge(entries []wire.QuarantineEntry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.state.Merge(entries)
}

func (q *quarantineList) decode(value []byte) error {
	entries, err := quarantine.Decode(value)
	if err == nil {
		q.merge(entries)
	}
	return err
}

// mayExchange reports whether an exchange may start now, and records its start if so.
func (q *quarantineList) mayExchange(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.lastExchange) < exchangeInterval {
		return false
	}
	q.lastExchange = now
	return true
}

// exchangeQuarantine sends the quarantine list to a peer and merges the peer's list.
func (c *Control) exchangeQuarantine(ctx context.Context, addr string) {
	queryCtx, cancel := context.WithTimeout(ctx, confsync.FetchTimeout)
	defer cancel()
	m, err := Query(queryCtx, c.opts.Pool, addr, &wire.QuarantineGet{Entries: c.quarantine.entries()})
	if list, ok := m.(*wire.QuarantineList); ok && err == nil {
		_ = c.events.Push(ctx, quarantineReceived{entries: list.Entries})
	}
}
