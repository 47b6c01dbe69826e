// Package prompt estimates which parts of a prompt an upstream has cached, from the requests sent to it.
package prompt

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt. Requests whose prompts begin with the same parts can share the prefill of these
// parts.
type Part struct {
	ID     string
	Tokens int
}

// Chain returns a hash for each prefix of parts under the model and adapter: element i covers parts 0 to i.
func Chain(model, adapter string, parts []Part) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model + "/" + adapter)
	out := make([]uint64, len(parts))
	for i, p := range parts {
		_, _ = d.WriteString("\x00" + p.ID)
		out[i] = d.Sum64()
	}
	return out
}

type entry struct {
	hash   uint64
	tokens int
	sent   time.Time // when it was last sent
	uses   int
}

// minPartTokens is the least size with which a part is recorded. Callers choose the sizes, and parts without a size would
// fill the process's memory.
const minPartTokens = 32

// Cache estimates the parts that one upstream has cached. It evicts the least recently sent parts when their tokens
// exceed the capacity. It is not safe for concurrent use.
type Cache struct {
	capacity, used int
	maxParts       int        // 0 for no bound
	reused         int        // tokens of the parts that were sent more than once
	order          *list.List // of entry, most recent first
	byHash         map[uint64]*list.Element
}

// NewCache returns an empty cache with a capacity in tokens.
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, order: list.New(), byHash: map[uint64]*list.Element{}}
}

// CachedTokens returns the number of leading tokens of the prompt that the upstream is expected to have cached.
func (c *Cache) CachedTokens(chain []uint64, parts []Part) int {
	cached := 0
	for i, h := range chain {
		if c.byHash[h] == nil {
			break
		}
		cached += parts[i].Tokens
	}
	return cached
}

// ExpectedTokens returns the number of leading tokens of the prompt that the upstream is expected to have cached at now,
// and the time since the last of these parts was sent. The probability that a part is still cached is one half after the
// lifetime.
func (c *Cache) ExpectedTokens(now time.Time, chain []uint64, parts []Part, lifetime time.Duration) (tokens float64, gap time.Duration) {
	p := 1.0
	for i, h := range chain {
		e := c.byHash[h]
		if e == nil {
			break
		}
		sent := e.Value.(*entry).sent
		gap = max(0, now.Sub(sent))
		p = min(p, StillCached(gap, lifetime))
		tokens += p * float64(parts[i].Tokens)
	}
	return tokens, gap
}

// StillCached returns the probability that a part is still cached when the given time has passed since its last use. An
// engine evicts what has not been used for longest, so there is a time from which little is left; it is known roughly only.
func StillCached(gap, lifetime time.Duration) float64 {
	x := gap.Seconds() / max(lifetime.Seconds(), 1e-3)
	return 1 / (1 + x*x)
}

// ReusedTokens returns the tokens of the cached parts that were sent more than once.
func (c *Cache) ReusedTokens() int { return c.reused }

// RecordSent records that a prompt was sent to the upstream.
func (c *Cache) RecordSent(now time.Time, chain []uint64, parts []Part) {
	size := func(i int) int { return max(parts[i].Tokens, minPartTokens) }
	for i := len(chain) - 1; i >= 0; i-- { // later parts first: they are evicted before the prefixes that they need
		if e := c.byHash[chain[i]]; e != nil {
			c.order.MoveToFront(e)
			known := e.Value.(*entry)
			if known.uses++; known.uses == 2 {
				c.reused += known.tokens
			}
			known.sent = now
			continue
		}
		c.byHash[chain[i]] = c.order.PushFront(&entry{hash: chain[i], tokens: size(i), sent: now, uses: 1})
		c.used += size(i)
	}
	c.evict()
}

// SetMaxParts bounds the number of parts; 0 sets no bound.
func (c *Cache) SetMaxParts(n int) {
	c.maxParts = n
	c.evict()
}

// Parts returns the number of recorded parts.
func (c *Cache) Parts() int { return c.order.Len() }

// MaxParts returns the bound that SetMaxParts has set.
func (c *Cache) MaxParts() int { return c.maxParts }

// evict removes the least recently sent parts beyond the bounds.
func (c *Cache) evict() {
	for c.order.Len() > 0 && (c.used > c.capacity || c.maxParts > 0 && c.order.Len() > c.maxParts) {
		last := c.order.Back()
		e := last.Value.(*entry)
		if e.uses > 1 {
			c.reused -= e.tokens
		}
		c.order.Remove(last)
		delete(c.byHash, e.hash)
		c.used -= e.tokens
	}
}
