// Package watch is the duty, shared by both roles, that follows the object API with one watch and polls the VM list.
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

// DefaultRingSize is how many updates may wait for their consumer. A full ring makes the duty wait.
const DefaultRingSize = 64

// Update is one change handed out. Exactly one of Objects with Synced, VMsAt with VMs, and Err is meaningful, and
// Source says which side it comes from. Objects of peers are copies of unknown age: they show that the object had the
// value at the version, and nothing of the present state.
type Update struct {
	Source Source
	// Objects are those created or changed since the last update, or Deleted, each at most once for each version.
	Objects []store.Object
	// Synced says that all objects with the watched prefixes have been handed out at least once.
	Synced bool
	// VMs is the list read whole. VMsAt is when the read began.
	VMs   []vmlist.VM
	VMsAt time.Time
	// Err is the failure of a call. The duty goes on.
	Err error
}

// Source is the side that an update comes from.
type Source uint8

// Sources.
const (
	SourceStore Source = iota + 1
	SourceVMs
	SourcePeers
)

// Options set the duty. The zero value has the system's intervals and prefixes.
type Options struct {
	// Prefixes of the keys handed out; by default all keys of the system.
	Prefixes []string
	// Hold is how long one watch is held, MinInterval the time between the starts of two calls.
	Hold, MinInterval time.Duration
	// VMPollInterval is the time between the starts of two reads of the VM list.
	VMPollInterval time.Duration
	RingSize       int
	// Seed of the jitter. Processes need different ones, so that they do not call in step after an outage.
	Seed uint64
}

func (o Options) withDefaults() Options {
	if len(o.Prefixes) == 0 {
		o.Prefixes = []string{store.KeyConfig, store.KeyQuarantine, store.PrefixGrants, store.PrefixOwners, store.PrefixUpstreams}
	}
	setDefault(&o.Hold, store.WatchHold)
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

// Watcher is the duty. Run it once.
type Watcher struct {
	store   store.Store
	lister  vmlist.Lister
	options Options
	updates *ring.Ring[Update]
	// order is held while changes are recorded and handed out, so that consumers get them in the order of versions.
	order sync.Mutex
	// mu guards versions and synced.
	mu sync.Mutex
	// versions holds what was handed out last of each key; deleted keys are left out once a listing confirms it.
	versions map[string]known
	revision uint64
	synced   bool
	listed   chan struct{} // closed by the first listing that succeeds
	failed   chan struct{} // closed by the first call that fails
}

type known struct {
	version uint64
	deleted bool
	peer    bool   // learned from a peer only
	value   []byte // of the objects that Snapshot returns
}

// New returns a watcher of s and l. A nil l leaves out the VM list.
func New(s store.Store, l vmlist.Lister, o Options) *Watcher {
	o = o.withDefaults()
	return &Watcher{store: s, lister: l, options: o, updates: ring.New[Update](o.RingSize), versions: map[string]known{},
		listed: make(chan struct{}), failed: make(chan struct{})}
}

// Updates returns the ring on which changes are handed out. It needs a consumer.
func (w *Watcher) Updates() *ring.Ring[Update] { return w.updates }

// Run follows both sides until ctx ends, and returns nil then.
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
// for the calls of one listing and the watch after it. After failures it grows by a jitter of up to half of MinInterval
// only: a longer back-off could miss the 8 s within which a configuration must be in force.
func (w *Watcher) followStore(ctx context.Context) {
	jitter := rand.New(rand.NewPCG(w.options.Seed, 1))
	listed, failures := false, 0
	failed := sync.OnceFunc(func() { close(w.failed) })
	for ctx.Err() == nil {
		began := time.Now()
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
		pause(ctx, began, w.options.MinInterval+backoff(jitter, w.options.MinInterval/2, failures))
	}
}

// backoff returns a random part of limit that widens over the first failures: an eighth, a quarter, a half, all.
func backoff(jitter *rand.Rand, limit time.Duration, failures int) time.Duration {
	if failures == 0 || limit < 16 {
		return 0
	}
	limit >>= max(0, 4-failures)
	return time.Duration(jitter.Int64N(int64(limit)))
}

// pause waits until d after began.
func pause(ctx context.Context, began time.Time, d time.Duration) {
	t := time.NewTimer(time.Until(began.Add(d)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// list reads all prefixes and hands out what changed, as one update. The watch continues from the lowest revision
// seen, so that no change between two of the calls is missed.
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
	w.order.Lock()
	defer w.order.Unlock()
	changed := w.relist(all, lowest)
	w.revision = max(w.revision, lowest)
	return w.push(ctx, changed)
}

// relist records a listing and returns what changed.
func (w *Watcher) relist(all []store.Object, revision uint64) []store.Object {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.synced {
		w.synced = true
		close(w.listed)
	}
	return append(w.unseen(all), w.vanished(all, revision)...)
}

func (w *Watcher) watch(ctx context.Context) error {
	objects, revision, err := w.store.Watch(ctx, w.revision, w.options.Hold)
	if err != nil {
		return err
	}
	w.order.Lock()
	defer w.order.Unlock()
	w.mu.Lock()
	changed := w.unseen(objects)
	w.mu.Unlock()
	w.revision = max(w.revision, revision)
	if len(changed) == 0 {
		return nil
	}
	return w.push(ctx, changed)
}

func (w *Watcher) push(ctx context.Context, objects []store.Object) error {
	return w.updates.Push(ctx, Update{Source: SourceStore, Objects: objects, Synced: w.synced})
}

// unseen returns the objects with a watched prefix that are newer than the version handed out last. Listings overlap
// with the watch and may be stale. An object known from a peer only is handed out again at the same version, as one that
// the store has shown. The caller holds mu.
func (w *Watcher) unseen(objects []store.Object) []store.Object {
	var out []store.Object
	for _, o := range objects {
		k := w.versions[o.Key]
		if !w.wanted(o.Key) || o.Version < k.version || o.Version == k.version && !k.peer {
			continue
		}
		w.record(o, false)
		out = append(out, o)
	}
	return out
}

// vanished returns deletions, unknown to the watch, of the keys that a listing no longer has. A listing older than the
// last revision seen proves nothing. The caller holds mu.
func (w *Watcher) vanished(listed []store.Object, revision uint64) []store.Object {
	if revision < w.revision {
		return nil
	}
	present := make(map[string]bool, len(listed))
	for _, o := range listed {
		present[o.Key] = true
	}
	var out []store.Object
	for key, k := range w.versions {
		if present[key] || k.version > revision {
			continue
		}
		if !k.deleted {
			out = append(out, store.Object{Key: key, Version: revision, Deleted: true})
		}
		delete(w.versions, key)
	}
	return out
}

func (w *Watcher) wanted(key string) bool {
	for _, p := range w.options.Prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

// pollVMs reads the VM list. A read that took longer than the poll interval, for example because the process was
// paused, counts as failed: its content may be older than the list's lag allows for.
func (w *Watcher) pollVMs(ctx context.Context) {
	jitter := rand.New(rand.NewPCG(w.options.Seed, 2))
	failures := 0
	for ctx.Err() == nil {
		began := time.Now()
		vms, err := w.lister.List(ctx)
		took := time.Since(began)
		if err == nil && took > max(w.options.VMPollInterval, vmlist.PollInterval) {
			err = fault.Newf(fault.StepVMList, "", "read took %s, discarded", took.Round(time.Millisecond))
		}
		if ctx.Err() != nil {
			return
		}
		u := Update{Source: SourceVMs, VMs: vms, VMsAt: began, Err: err}
		failures++
		if err == nil {
			failures = 0
		} else {
			u.VMs, u.VMsAt = nil, time.Time{}
		}
		_ = w.updates.Push(ctx, u)
		pause(ctx, began, w.options.VMPollInterval+backoff(jitter, w.options.VMPollInterval/2, failures))
	}
}
