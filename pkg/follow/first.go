package follow

import (
	"context"
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// firstHedgeDelay is the time without an answer after which a second call is made while nothing is known of the kind; each
	// further one follows after half as long again. A call that begins while the store is silent may stay without an answer
	// after the store has come back, and the process can serve nobody before it has one.
	firstHedgeDelay = 300 * time.Millisecond
	// maxParallelCalls bounds the calls beside each other.
	maxParallelCalls = 5
)

// listing is the answer to a list call.
type listing struct {
	objects  []platform.Object
	revision uint64
	err      error
}

// readListing lists the kind. While nothing is known of it, calls that stay without an answer are not waited for: others are made
// beside them, and the first answer counts. A store that is slow answers the first one, one that was silent a later one.
func (f *Follower) readListing(ctx context.Context) ([]platform.Object, uint64, error) {
	if f.listed {
		return f.src.List(ctx, f.kind)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan listing, maxParallelCalls)
	call := func() {
		objects, revision, err := f.src.List(ctx, f.kind)
		results <- listing{objects: objects, revision: revision, err: err}
	}
	go call()
	hedgeDelay := firstHedgeDelay
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	for pending, calls := 1, 1; ; {
		select {
		case a := <-results:
			if pending--; a.err == nil || pending == 0 {
				return a.objects, a.revision, a.err
			}
		case <-timer.C:
			if calls == maxParallelCalls {
				continue
			}
			go call()
			pending, calls = pending+1, calls+1
			hedgeDelay += hedgeDelay / 2
			timer.Reset(hedgeDelay)
		}
	}
}
