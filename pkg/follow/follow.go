// Package follow lists and watches one kind of object in the platform's store.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// minRetryDelay is the mean delay after a failed call; each further failure doubles it. maxUnlistedRetryDelay
	// bounds it until the kind has been listed, since the process may not serve before.
	minRetryDelay         = 50 * time.Millisecond
	maxUnlistedRetryDelay = 400 * time.Millisecond
	// maxCompactedDelay bounds the delay before the next listing while watches keep failing with store.ErrCompacted.
	maxCompactedDelay = time.Second
	// watchMargin is how long after the end of its long poll a watch may reply. It allows for some round trips between
	// regions and a loaded store. A watch without a reply after that is cancelled.
	watchMargin = 700 * time.Millisecond
	// outageLongPollDuration bounds the long poll of a watch while calls fail. A watch that has no reply when an outage ends
	// delays everything that counts from its end.
	outageLongPollDuration = time.Second
	// listTimeout bounds one listing.
	listTimeout = 2500 * time.Millisecond
	// rewriteTime is the time after the first listing of a restored store in which its writers may not have written again what
	// it has lost. It fits, with an outage of about two seconds before, into the time for which a view stays usable.
	rewriteTime = time.Second
	// minOutage is how long calls must fail to count as an outage of the store.
	minOutage = 500 * time.Millisecond
)

// Source lists and watches objects.
type Source interface {
	List(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) ([]platform.Object, uint64, error)
}

// Handler receives the objects read. Its functions are called from one goroutine.
type Handler struct {
	// Listed is called with all objects of the kind, Changed with those that changed or were removed since.
	Listed, Changed func([]platform.Object)
	// Recovered is called when a call succeeds after an outage of the store, before Listed or Changed with its result.
	// It may be nil.
	Recovered func()
	// Restored is called before Listed with the first listing of a store that was restored from a copy. Objects may be
	// missing or outdated until their writers write them again. It may be nil.
	Restored func()
	// Proved is called after Listed or Changed with the start of the call: what the handler has received is the state of
	// the store at that instant or later, if the source's reads are linearizable. Calls that start within rewriteTime of a
	// restore prove nothing. It may be nil.
	Proved func(startedAt boottime.Instant)
}

// Options define how often the store is called.
type Options struct {
	// LongPollDuration is the longest time that a watch waits for a change.
	LongPollDuration time.Duration
	// ChangeDelay is the time between a change and the next watch. It combines changes in quick succession into one
	// call.
	ChangeDelay time.Duration
	// Hurry ends the current or the next ChangeDelay when it receives. It may be nil.
	Hurry <-chan struct{}
	// MaxRetryDelay bounds the mean delay after a failed call once the kind has been listed; it is at least 400 ms. A
	// larger value reduces the calls to a store that is overloaded or refuses them.
	MaxRetryDelay time.Duration
	// Pace returns the long poll of the next watch, instead of LongPollDuration, and the least time from its start to that
	// of the following one. It may be nil.
	Pace func() (longPoll, interval time.Duration)
}

func (o Options) pace() (longPoll, interval time.Duration) {
	if o.Pace == nil {
		return o.LongPollDuration, 0
	}
	return o.Pace()
}

// backoff returns the mean delay after a number of consecutive failed calls.
func (o Options) backoff(failures int, listed bool) time.Duration {
	limit := maxUnlistedRetryDelay
	if listed {
		limit = max(limit, o.MaxRetryDelay)
	}
	return min(limit, minRetryDelay<<min(failures-1, 10))
}

// Follower lists and watches one kind of object.
type Follower struct {
	src          Source
	kind         string
	opt          Options
	h            Handler
	log          *eventlog.Log
	failingSince time.Time // start of the consecutive failures; zero while calls succeed
	failures     int       // consecutive failed calls
	listed       bool
	era          uint64           // of the last listing
	restoredAt   boottime.Instant // of the first listing of a restored store; 0 if there was none
	compactions  int              // consecutive watches that failed with store.ErrCompacted
}

// New returns a follower of kind that calls the functions of h.
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
	startedAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	l := f.readListing(callCtx)
	if l.err != nil {
		f.handleFailure(ctx, startedAt, l.err)
		return 0, false
	}
	f.handleSuccess()
	era := platform.Era(l.revision)
	if f.listed && era != f.era {
		f.log.State("restored store listed", "kind", f.kind, "era", era, "before", f.era, "objects", len(l.objects))
		f.restoredAt = boottime.Now()
		if f.h.Restored != nil {
			f.h.Restored()
		}
	}
	f.listed, f.era = true, era
	f.h.Listed(l.objects)
	f.prove(l.startedAt)
	return l.revision, true
}

func (f *Follower) prove(startedAt boottime.Instant) {
	if f.h.Proved != nil && (f.restoredAt == 0 || startedAt.Sub(f.restoredAt) >= rewriteTime) {
		f.h.Proved(startedAt)
	}
}

// watch makes one watch call and returns the revision for the next one. It returns false if the kind must be listed
// again.
func (f *Follower) watch(ctx context.Context, since uint64) (uint64, bool) {
	startedAt, provenAt := time.Now(), boottime.Now()
	longPoll, interval := f.opt.pace()
	if !f.failingSince.IsZero() {
		longPoll = min(longPoll, outageLongPollDuration)
	}
	callCtx, cancel := context.WithTimeout(ctx, longPoll+watchMargin)
	defer cancel()
	objects, revision, err := f.src.Watch(callCtx, f.kind, since, longPoll)
	if errors.Is(err, store.ErrRestored) {
		f.log.State("store was restored, listing again", "kind", f.kind, "revision", since)
		sleep(ctx, f.opt.ChangeDelay) // all followers list at the same time
		return 0, false
	}
	if errors.Is(err, store.ErrCompacted) {
		f.compactions++
		f.log.State("watch history compacted, listing again", "kind", f.kind, "revision", since, "in_a_row", f.compactions)
		delay := f.opt.ChangeDelay // a listing is larger than a change, and all followers list at the same time
		if f.compactions > 1 {     // the listing was stale: older than the remaining history
			delay = 2*f.opt.ChangeDelay + min(maxCompactedDelay, minRetryDelay<<min(f.compactions, 10))
		}
		sleep(ctx, delay)
		return 0, false
	}
	if err != nil {
		f.handleFailure(ctx, startedAt, err)
		// A watch from the same revision returns the same changes; a listing has the newest state only.
		return since, !errors.Is(err, store.ErrUnreadable)
	}
	if f.h.Proved != nil && revision != 0 && revision < since {
		// The store was restored to an earlier state. A watch from since does not report the changes made after that.
		f.handleFailure(ctx, startedAt, fault.Newf(fault.StepStore, f.kind, "store is at revision %d, before %d", revision, since))
		return 0, false
	}
	f.handleSuccess()
	f.compactions = 0
	changed := len(objects) > 0
	if changed {
		f.h.Changed(objects)
	}
	f.prove(provenAt)
	if changed {
		f.awaitChangeDelay(ctx)
	}
	sleep(ctx, interval-time.Since(startedAt))
	return max(revision, since), true
}

// handleFailure logs the first of consecutive failures and waits until the retry delay since the start of the call has
// passed. A call without a reply has taken longer than that, so the next one follows at once: an outage that ends
// meanwhile is noticed no later than by the timeout of one call. It ignores errors caused by the end of ctx.
func (f *Follower) handleFailure(ctx context.Context, startedAt time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failingSince.IsZero() {
		f.failingSince, f.failures = time.Now(), 0
		f.log.State("store call failed", "kind", f.kind, "err", err)
	}
	f.failures++
	delay := f.opt.backoff(f.failures, f.listed)
	sleep(ctx, delay/2+rand.N(delay)-time.Since(startedAt))
}

func (f *Follower) awaitChangeDelay(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.opt.Hurry:
	case <-time.After(f.opt.ChangeDelay):
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// handleSuccess ends a series of failures and reports the recovery if they lasted at least minOutage.
func (f *Follower) handleSuccess() {
	if f.failingSince.IsZero() {
		return
	}
	outage := time.Since(f.failingSince)
	f.failingSince = time.Time{}
	f.log.State("store recovered", "kind", f.kind, "after", outage)
	if outage >= minOutage && f.h.Recovered != nil {
		f.h.Recovered()
	}
}
