// Package ring provides the bounded queue that joins two duties.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue between goroutines. It never grows; a full ring makes Push wait and
// TryPush fail, so that a slow duty limits the ones that feed it.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a ring that holds at most size items. Size must be positive.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Push adds an item, waiting while the ring is full. It returns ctx's error if ctx ends first.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryPush adds an item without waiting and reports whether there was room. A failure counts as dropped.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Pop removes the oldest item, waiting while the ring is empty. It returns ctx's error if ctx ends first.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Items returns the receive side, for use in a select.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of waiting items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns how many TryPush calls found the ring full.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
