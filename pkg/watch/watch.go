// Package watch provides the background loop, shared by routers and agents, that follows the object API with one watch
// and polls the VM list.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/ring"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

// DefaultRingSize is the number of updates that may wait for their consumer. A full ring blocks the watcher.
const DefaultRingSize = 64

// Update is one change delivered to the consumer. It carries either Objects and Synced, or VMs and VMsAt, or Err;
// Source is its origin. Objects from peers are copies of unknown age: they show that the object had the value at that
// version, and nothing about its current state.
type Update struct {
	Source Source
	// Objects are the objects created, changed or deleted since the last update, each at most once per version.
	Objects []store.Object
	// Synced reports whether all objects with the watched prefixes have been delivered at least once.
	Synced bool
	// VMs is the complete VM list, and VMsAt the time at which its read started.
	VMs   []vmlist.VM
	VMsAt time.Time
	// Err is the error of a call. The watcher continues after it.
	Err error
}

// Source is the origin of an update.
type Source uint8

// Sources.
const (
	SourceStore Source = iota + 1
	SourceVMs
	SourcePeers
)

// Options configure a Watcher. The zero value means the system's intervals and prefixes.
type Options struct {
	// Prefixes are the prefixes of the watched keys; by default all keys of the system.
	Prefixes []string
	// LongPollDuration is the duration of one long poll, MinInterval the minimum time between the starts of two calls.
	LongPollDuration, MinInterval time.Duration
	// VMPollInterval is the time between the starts of two reads of the VM list.
	VMPollInterval time.Duration
	RingSize       int
	// Seed is the seed of the jitter. It must differ between processes, so that their calls are not synchronized after
	// an outage.
	Seed uint64
}

func (o Options) withDefaults() Options {
	if len(o.Prefixes) == 0 {
		o.Prefixes = []string{store.KeyConfig, store.KeyQuarantine, store.PrefixGrants, store.PrefixOwners, store.PrefixUpstreams}
	}
	setDefault(&o.LongPollDuration, store.WatchHold)
	setDefault(&o.MinInterval, store.WatchMinInterval)
	setDefault(&o.VMPollInterval, vmlist.PollInterval)
	if o.RingSize <= 0 {
		o.RingSize = DefaultRingSize
	}
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Watcher follows the object API and the VM list. Its Run method may be called once.
type Watcher struct {
	store   store.Store
	lister  vmlist.Lister
	options Options
	updates *ring.Ring[Update]
	// deliverMu is locked while changes are recorded and delivered, so that consumers get them in version order.
	deliverMu sync.Mutex
	// mu guards versions and synced.
	mu sync.Mutex
	// versions stores the last delivered state of each key. Deleted keys are removed once a listing confirms the
	// deletion.
	versions map[string]deliveredObject
	revision uint64
	synced   bool
	listed   chan struct{} // closed by the first listing that succeeds
	failed   chan struct{} // closed by the first call that fails
}

type deliveredObject struct {
	version  uint64
	deleted  bool
	fromPeer bool   // received from a peer only
	value    []byte // only of the objects that Snapshot returns
}

// New returns a watcher of s and l. If l is nil, no VM list is read.
func New(s store.Store, l vmlist.Lister, o Options) *Watcher {
	o = o.withDefaults()
	return &Watcher{store: s, lister: l, options: o, updates: ring.New[Update](o.RingSize), versions: map[string]deliveredObject{},
		listed: make(chan struct{}), failed: make(chan struct{})}
}

// Updates returns the ring of delivered changes. It needs a consumer.
func (w *Watcher) Updates() *ring.Ring[Update] { return w.updates }

// Run follows the store and the VM list until ctx ends, and then returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if w.lister != nil {
			w.pollVMs(ctx)
		}
	}()
	w.followStore(ctx)
	<-done
	return nil
}

// followStore lists once and then watches. The time between the starts of two calls is at least MinInterval, except
// for the calls of one listing and the watch after it. After failures it grows only by a jitter of up to half of
// MinInterval: with a longer backoff a configuration could take longer than the required 8 s to become active.
func (w *Watcher) followStore(ctx context.Context) {
	jitter := rand.New(rand.NewPCG(w.options.Seed, 1))
	listed, failures := false, 0
	failed := sync.OnceFunc(func() { close(w.failed) })
	for ctx.Err() == nil {
		startedAt := time.Now()
		var err error
		if !listed {
			if err = w.list(ctx); err == nil {
				listed = true
				continue
			}
		} else {
			err = w.watch(ctx)
		}
		if errors.Is(err, store.ErrCompacted) {
			listed = false
		}
		if err != nil && ctx.Err() == nil {
			failures++
			failed()
			_ = w.updates.Push(ctx, Update{Source: SourceStore, Err: err})
		} else {
			failures = 0
		}
		pause(ctx, startedAt, w.options.MinInterval+backoff(jitter, w.options.MinInterval/2, failures))
	}
}

// backoff returns a random duration below a bound that grows with the number of failures: an eighth, a quarter, a half,
// then all of limit.
func backoff(jitter *rand.Rand, limit time.Duration, failures int) time.Duration {
	if failures == 0 || limit < 16 {
		return 0
	}
	limit >>= max(0, 4-failures)
	return time.Duration(jitter.Int64N(int64(limit)))
}

// pause waits until d after startedAt or until ctx ends.
func pause(ctx context.Context, startedAt time.Time, d time.Duration) {
	t := time.NewTimer(time.Until(startedAt.Add(d)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// list reads all prefixes and delivers the changes as one update. The watch continues from the lowest revision
// returned, so that no change between two of the calls is missed.
func (w *Watcher) list(ctx context.Context) error {
	var all []store.Object
	var lowest uint64
	for i, prefix := range w.options.Prefixes {
		objects, revision, err := w.store.List(ctx, prefix)
		if err != nil {
			return err
		}
		if i == 0 || revision < lowest {
			lowest = revision
		}
		all = append(all, objects...)
	}
	w.deliverMu.Lock()
	defer w.deliverMu.Unlock()
	changed := w.applyListing(all, lowest)
	w.revision = max(w.revision, lowest)
	return w.deliver(ctx, changed)
}

// applyListing records a listing and returns the changed and deleted objects.
func (w *Watcher) applyListing(all []store.Object, revision uint64) []store.Object {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.synced {
		w.synced = true
		close(w.listed)
	}
	return append(w.changedObjects(all), w.deletedObjects(all, revision)...)
}

func (w *Watcher) watch(ctx context.Context) error {
	objects, revision, err := w.store.Watch(ctx, w.revision, w.options.LongPollDuration)
	if err != nil {
		return err
	}
	w.deliverMu.Lock()
	defer w.deliverMu.Unlock()
	w.mu.Lock()
	changed := w.changedObjects(objects)
	w.mu.Unlock()
	w.revision = max(w.revision, revision)
	if len(changed) == 0 {
		return nil
	}
	return w.deliver(ctx, changed)
}

func (w *Watcher) deliver(ctx context.Context, objects []store.Object) error {
	return w.updates.Push(ctx, Update{Source: SourceStore, Objects: objects, Synced: w.synced})
}

// changedObjects records and returns the objects with a watched prefix that are newer than the last delivered version.
// Listings overlap with the watch and may be stale. An object received only from a peer is delivered again at the same
// version, now confirmed by the store. The caller holds mu.
func (w *Watcher) changedObjects(objects []store.Object) []store.Object {
	var out []store.Object
	for _, o := range objects {
		last := w.versions[o.Key]
		if !w.isWatched(o.Key) || o.Version < last.version || o.Version == last.version && !last.fromPeer {
			continue
		}
		w.record(o, false)
		out = append(out, o)
	}
	return out
}

// deletedObjects returns deletions of the keys that a listing no longer contains and that the watch has not reported. A
// listing older than the last revision may be stale and deletes nothing. The caller holds mu.
func (w *Watcher) deletedObjects(listed []store.Object, revision uint64) []store.Object {
	if revision < w.revision {
		return nil
	}
	present := make(map[string]bool, len(listed))
	for _, o := range listed {
		present[o.Key] = true
	}
	var out []store.Object
	for key, last := range w.versions {
		if present[key] || last.version > revision {
			continue
		}
		if !last.deleted {
			out = append(out, store.Object{Key: key, Version: revision, Deleted: true})
		}
		delete(w.versions, key)
	}
	return out
}

func (w *Watcher) isWatched(key string) bool {
	for _, p := range w.options.Prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

// pollVMs reads the VM list periodically. A read that took longer than the poll interval, for example because the
// process was paused, counts as failed: its content may be older than the maximum lag of the list.
func (w *Watcher) pollVMs(ctx context.Context) {
	jitter := rand.New(rand.NewPCG(w.options.Seed, 2))
	failures := 0
	for ctx.Err() == nil {
		startedAt := time.Now()
		vms, err := w.lister.List(ctx)
		elapsed := time.Since(startedAt)
		if err == nil && elapsed > max(w.options.VMPollInterval, vmlist.PollInterval) {
			err = fault.Newf(fault.StepVMList, "", "read took %s, longer than the poll interval", elapsed.Round(time.Millisecond))
		}
		if ctx.Err() != nil {
			return
		}
		u := Update{Source: SourceVMs, VMs: vms, VMsAt: startedAt, Err: err}
		failures++
		if err == nil {
			failures = 0
		} else {
			u.VMs, u.VMsAt = nil, time.Time{}
		}
		_ = w.updates.Push(ctx, u)
		pause(ctx, startedAt, w.options.VMPollInterval+backoff(jitter, w.options.VMPollInterval/2, failures))
	}
}
