// Package follow keeps a process up to date with one kind of object in the platform's store.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// firstPause is the mean pause after a failed call; each further failure doubles it. maxPause bounds it while nothing is
	// known of the kind, since the process may not serve before.
	firstPause = 50 * time.Millisecond
	maxPause   = 400 * time.Millisecond
	// maxGone bounds the pause before the kind is listed again while its history keeps being gone.
	maxGone = time.Second
	// answerSlack is how long after the hold of a watch its answer may arrive: some round trips between regions and a
	// loaded store. A connection that is silent for longer is given up.
	answerSlack = 700 * time.Millisecond
	// listTimeout bounds one listing.
	listTimeout = 2500 * time.Millisecond
	// outageAfter is how long calls must fail until the gap counts as an outage of the store.
	outageAfter = 500 * time.Millisecond
)

// Source reads objects.
type Source interface {
	List(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) ([]platform.Object, uint64, error)
}

// Handler takes what is read. Its functions are called from one goroutine.
type Handler struct {
	// Listed takes all objects of the kind, Changed those that changed or were removed since.
	Listed, Changed func([]platform.Object)
	// Returned is called when the store answers again after an outage, before what it answered is handed over. It may
	// be nil.
	Returned func()
}

// Options say how often the store is called.
type Options struct {
	// Hold is the longest time that a watch waits for a change.
	Hold time.Duration
	// ChangeDelay is the time between a change and the next watch. Changes that come in quick succession then take one call.
	ChangeDelay time.Duration
	// MaxRetryDelay bounds the mean pause after a failed call once the kind has been listed; 400 ms if it is 0. A store that is
	// overloaded or refuses calls is called less often then.
	MaxRetryDelay time.Duration
}

// backoff returns the mean pause after a number of failed calls in a row.
func (o Options) backoff(failures int, listed bool) time.Duration {
	limit := maxPause
	if listed {
		limit = max(limit, o.MaxRetryDelay)
	}
	return min(limit, firstPause<<min(failures-1, 10))
}

// Follower follows one kind.
type Follower struct {
	src      Source
	kind     string
	opt      Options
	h        Handler
	log      *eventlog.Log
	down     time.Time // when calls began to fail; zero while they succeed
	failures int       // in a row
	listed   bool
	gone     int // watches in a row that were told that their history is gone
}

// New returns a follower of the kind.
func New(src Source, kind string, opt Options, h Handler, log *eventlog.Log) *Follower {
	return &Follower{src: src, kind: kind, opt: opt, h: h, log: log}
}

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, ok := f.list(ctx)
		for ok && ctx.Err() == nil {
			revision, ok = f.watch(ctx, revision)
		}
	}
}

func (f *Follower) list(ctx context.Context) (uint64, bool) {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, revision, err := f.read(call)
	if err != nil {
		f.failed(ctx, err)
		return 0, false
	}
	f.answered()
	f.listed = true
	f.h.Listed(objects)
	return revision, true
}

// watch makes one watch call. It returns false if the kind has to be listed again.
func (f *Follower) watch(ctx context.Context, since uint64) (uint64, bool) {
	call, cancel := context.WithTimeout(ctx, f.opt.Hold+answerSlack)
	defer cancel()
	objects, revision, err := f.src.Watch(call, f.kind, since, f.opt.Hold)
	if errors.Is(err, store.ErrCompacted) {
		f.gone++
		f.log.State("watch history is gone, listing again", "kind", f.kind, "revision", since, "in_a_row", f.gone)
		pause := f.opt.ChangeDelay // a listing is larger than a change; all followers list at the same time
		if f.gone > 1 {            // the listing was older than the history, as a stale one can be
			pause = 2*f.opt.ChangeDelay + min(maxGone, firstPause<<min(f.gone, 10))
		}
		sleep(ctx, pause)
		return 0, false
	}
	if err != nil {
		f.failed(ctx, err)
		return since, true
	}
	f.answered()
	f.gone = 0
	if len(objects) > 0 {
		f.h.Changed(objects)
		sleep(ctx, f.opt.ChangeDelay)
	}
	return max(revision, since), true
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.down.IsZero() {
		f.down, f.failures = time.Now(), 0
		f.log.State("store call failed", "kind", f.kind, "err", err)
	}
	f.failures++
	pause := f.opt.backoff(f.failures, f.listed)
	sleep(ctx, pause/2+rand.N(pause))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *Follower) answered() {
	if f.down.IsZero() {
		return
	}
	lost := time.Since(f.down)
	f.down = time.Time{}
	f.log.State("store answers again", "kind", f.kind, "after", lost)
	if lost >= outageAfter && f.h.Returned != nil {
		f.h.Returned()
	}
}
