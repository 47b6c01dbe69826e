package router

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/confsync"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// listHeard is the event that a peer sent its list; exchangeList that a peer has another list.
type (
	listHeard    struct{ entries []wire.QuarantineEntry }
	exchangeList struct{ addr string }
)

// exchangeInterval is the least time between two exchanges that this router starts. Hashes come with each ping.
const exchangeInterval = 2 * time.Second

// blocklist shares the quarantine list between the control duty and the requests.
type blocklist struct {
	mu   sync.Mutex
	list *quarantine.State
	last time.Time // exchange started
}

func (j *blocklist) hash() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.list.Hash()
}

func (j *blocklist) holds(fingerprint uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.list.IsQuarantined(fingerprint)
}

func (j *blocklist) entries() []wire.QuarantineEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.list.Entries()
}

func (j *blocklist) merge(entries []wire.QuarantineEntry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.list.Merge(entries)
}

func (j *blocklist) decode(value []byte) error {
	entries, err := quarantine.Decode(value)
	if err == nil {
		j.merge(entries)
	}
	return err
}

// mayExchange reports whether an exchange may start now, and counts it if so.
func (j *blocklist) mayExchange(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if now.Sub(j.last) < exchangeInterval {
		return false
	}
	j.last = now
	return true
}

// exchangeList gives the list to a peer and takes the peer's.
func (c *Control) exchangeList(ctx context.Context, addr string) {
	askCtx, cancel := context.WithTimeout(ctx, confsync.FetchTimeout)
	defer cancel()
	m, err := Query(askCtx, c.o.Pool, addr, &wire.QuarantineGet{Entries: c.blocklist.entries()})
	if list, ok := m.(*wire.QuarantineList); ok && err == nil {
		_ = c.events.Push(ctx, listHeard{entries: list.Entries})
	}
}
