package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/dispatch"
	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// refusalsInterval is the time between two checks for refused requests that are to be stored.
	refusalsInterval = 200 * time.Millisecond
	// refusalsCallTimeout bounds one call of the store.
	refusalsCallTimeout = 2 * time.Second
	// minRefusalsRetryDelay is the delay after a failed call; each further failure doubles it up to maxRefusalsRetryDelay.
	minRefusalsRetryDelay = 200 * time.Millisecond
	maxRefusalsRetryDelay = 5 * time.Second
)

// RefusalStore is the part of the platform's store in which refused requests outlive the processes that know them.
type RefusalStore interface {
	List(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	WriteIf(ctx context.Context, kind, name string, spec any, expect uint64) (uint64, platform.Object, error)
	// Era returns the latest known era of the store. It rises when the store is restored from a copy.
	Era() uint64
}

// Refusals keeps the requests that crash upstreams in the store: one object for each router, which only that router writes.
// Relays tell the running routers of a crash; the store tells those that start later.
type Refusals struct {
	core   *Core
	store  RefusalStore
	router string
	log    *eventlog.Log
	// revision is that of this router's object as last read or written; 0 if there is none. Each write expects it, since one
	// that was given up may be executed seconds later.
	revision uint64
}

// NewRefusals returns the refusals of the router.
func NewRefusals(core *Core, store RefusalStore, router string, log *eventlog.Log) *Refusals {
	return &Refusals{core: core, store: store, router: router, log: log}
}

// refusalsSpec is the content of a router's object.
type refusalsSpec struct {
	Requests []quarantine.RefusedRequest `json:"requests"`
}

// Run reads the stored refusals of all routers, and then stores those of this router after each change and each restore of
// the store, until ctx ends.
// Nothing is written before the first read, since a write replaces what earlier processes of this router have stored.
func (r *Refusals) Run(ctx context.Context) {
	if !r.retry(ctx, "read refused requests", r.read) {
		return
	}
	written := uint64(0)
	tick := time.NewTicker(refusalsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var version uint64
		r.core.Do(func(s *dispatch.State) { version = s.Crashes.OwnRefusalsVersion() })
		if version != written || r.isLost() {
			r.retry(ctx, "store refused requests", func(ctx context.Context) error {
				var err error
				written, err = r.write(ctx)
				return err
			})
		}
	}
}

// isLost reports whether the store may have lost this router's refused requests, since it was restored after they were
// stored.
func (r *Refusals) isLost() (lost bool) {
	if platform.Era(r.revision) == r.store.Era() {
		return false
	}
	r.core.Do(func(s *dispatch.State) { lost = len(s.Crashes.OwnRefusals(time.Now())) > 0 })
	return lost
}

// retry calls step until it succeeds and reports whether it did before ctx ended.
func (r *Refusals) retry(ctx context.Context, name string, step func(context.Context) error) bool {
	for delay := minRefusalsRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxRefusalsRetryDelay) {
		callCtx, cancel := context.WithTimeout(ctx, refusalsCallTimeout)
		err := step(callCtx)
		cancel()
		if err == nil {
			return true
		}
		r.log.State(name+" failed, retrying", "in_ms", delay.Milliseconds(), "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
	return false
}

func (r *Refusals) read(ctx context.Context) error {
	objects, revision, err := r.store.List(ctx, platform.KindRefusals)
	if err != nil {
		return err
	}
	total := 0
	for _, o := range objects {
		if o.Name == r.router {
			r.revision = o.Revision
		}
		var spec refusalsSpec
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			r.log.State("refused requests of a router not read", "router", o.Name, "err", err)
			continue
		}
		total += len(spec.Requests)
		r.core.Do(func(s *dispatch.State) { s.Crashes.Restore(time.Now(), spec.Requests, o.Name == r.router) })
	}
	r.log.State("refused requests read", "routers", len(objects), "requests", total, "revision", revision)
	return nil
}

// write stores the refusals of this router and returns their version.
func (r *Refusals) write(ctx context.Context) (uint64, error) {
	var spec refusalsSpec
	var version uint64
	r.core.Do(func(s *dispatch.State) {
		spec.Requests, version = s.Crashes.OwnRefusals(time.Now()), s.Crashes.OwnRefusalsVersion()
	})
	revision, current, err := r.store.WriteIf(ctx, platform.KindRefusals, r.router, spec, r.revision)
	switch {
	case errors.Is(err, store.ErrConflict):
		r.revision = current.Revision // an earlier write without an answer has been executed
	case err == nil:
		r.revision = revision
		r.log.State("refused requests stored", "requests", len(spec.Requests), "revision", revision)
	}
	return version, err
}
