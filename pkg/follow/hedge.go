package follow

import (
	"context"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// firstHedgeDelay is the time without a result after which the first listing is called a second time; the delay
	// before each further call is half as long again. A call that starts while the store is unresponsive may get no
	// reply even after the store has recovered, and the process cannot serve requests before the first listing.
	firstHedgeDelay = 300 * time.Millisecond
	// maxParallelCalls bounds the concurrent calls.
	maxParallelCalls = 5
)

// listing is the result of a list call.
type listing struct {
	objects   []platform.Object
	revision  uint64
	err       error
	startedAt boottime.Instant
}

// readListing lists the kind. The first listing is hedged: while calls have no result, further ones are started
// concurrently, and the first success counts. A store that is slow replies to the first call; one that was unresponsive
// may reply only to a call that was started after its recovery.
func (f *Follower) readListing(ctx context.Context) listing {
	if f.listed {
		return f.callList(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan listing, maxParallelCalls)
	call := func() { results <- f.callList(ctx) }
	go call()
	hedgeDelay := firstHedgeDelay
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	for pending, calls := 1, 1; ; {
		select {
		case result := <-results:
			if pending--; result.err == nil || pending == 0 {
				return result
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

func (f *Follower) callList(ctx context.Context) listing {
	l := listing{startedAt: boottime.Now()}
	l.objects, l.revision, l.err = f.src.List(ctx, f.kind)
	return l
}
