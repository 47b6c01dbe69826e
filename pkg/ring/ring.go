// Package ring provides the bounded queue that connects two goroutines.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue between goroutines. It never grows: if it is full, Push blocks and TryPush
// fails, so that a slow consumer limits its producers.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a ring with a capacity of size items. Size must be positive.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Push adds an item, blocking while the ring is full. It returns ctx's error if ctx ends first.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryPush adds an item without blocking and reports whether it succeeded. Dropped counts the failures.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Pop removes and returns the oldest item, blocking while the ring is empty. It returns ctx's error if ctx ends first.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Items returns the receive side of the ring, for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns the number of TryPush calls that failed because the ring was full.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
