package watch

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/confsync"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// isShared reports whether peers exchange the object. The configuration and the quarantine list have messages of their
// own.
func isShared(key string) bool {
	return strings.HasPrefix(key, store.PrefixUpstreams) || strings.HasPrefix(key, store.PrefixGrants) || strings.HasPrefix(key, store.PrefixOwners)
}

// record keeps an object that is handed out. The caller holds mu.
func (w *Watcher) record(o store.Object, peer bool) {
	k := known{version: o.Version, deleted: o.Deleted, peer: peer}
	if isShared(o.Key) && !o.Deleted {
		k.value = o.Value
	}
	w.versions[o.Key] = k
}

// Snapshot returns the newest value known of each object under upstreams/, grants/ and owners/, sorted by key. The
// values must not be changed. It is safe for concurrent use.
func (w *Watcher) Snapshot() []wire.Object {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []wire.Object
	for key, k := range w.versions {
		if isShared(key) && !k.deleted {
			out = append(out, wire.Object{Key: key, Version: k.version, Value: k.value})
		}
	}
	slices.SortFunc(out, func(a, b wire.Object) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Offer takes a peer's copies and hands out those with a version above the one known. After the first listing it takes
// none, since a copy could bring back an object whose deletion a listing has confirmed. It waits while the ring is full;
// the error is ctx's. It is safe for concurrent use.
func (w *Watcher) Offer(ctx context.Context, objects []wire.Object) error {
	w.order.Lock()
	defer w.order.Unlock()
	newer := w.newer(objects)
	if len(newer) == 0 {
		return nil
	}
	return w.updates.Push(ctx, Update{Source: SourcePeers, Objects: newer})
}

func (w *Watcher) newer(objects []wire.Object) []store.Object {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.synced {
		return nil
	}
	var out []store.Object
	for _, c := range objects {
		if !isShared(c.Key) || !w.wanted(c.Key) || c.Version <= w.versions[c.Key].version {
			continue
		}
		o := store.Object{Key: c.Key, Version: c.Version, Value: c.Value}
		w.record(o, true)
		out = append(out, o)
	}
	return out
}

// QueryFunc sends a question to the process at an address and returns its answer.
type QueryFunc func(ctx context.Context, addr string, question wire.Message) (wire.Message, error)

// BootstrapFromPeers asks up to confsync.MaxPeers of the peers' addresses for their objects, and offers what they answer,
// if the first call to the store fails or takes longer than confsync.RetryInterval. It repeats this at that interval and
// returns when a listing has succeeded, a peer has answered with objects, or ctx has ended.
func (w *Watcher) BootstrapFromPeers(ctx context.Context, peers func() []string, ask QueryFunc) {
	if !w.unlisted(ctx, time.Now(), w.failed) {
		return
	}
	for {
		began := time.Now()
		if w.learn(ctx, peers(), ask) || !w.unlisted(ctx, began, nil) {
			return
		}
	}
}

// unlisted waits for early or until RetryInterval after began. It returns false as soon as a listing has succeeded or
// ctx has ended.
func (w *Watcher) unlisted(ctx context.Context, began time.Time, early <-chan struct{}) bool {
	t := time.NewTimer(time.Until(began.Add(confsync.RetryInterval)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-early:
	case <-w.listed:
		return false
	case <-ctx.Done():
		return false
	}
	return true
}

// learn asks the peers at the same time and reports whether one has answered with objects.
func (w *Watcher) learn(ctx context.Context, peers []string, ask QueryFunc) bool {
	peers = peers[:min(len(peers), confsync.MaxPeers)]
	heard := make([]bool, len(peers))
	var wg sync.WaitGroup
	for i, addr := range peers {
		wg.Go(func() {
			askCtx, cancel := context.WithTimeout(ctx, confsync.FetchTimeout)
			defer cancel()
			m, err := ask(askCtx, addr, &wire.ObjectsGet{})
			if list, ok := m.(*wire.ObjectsList); err == nil && ok && len(list.Objects) > 0 {
				heard[i] = w.Offer(ctx, list.Objects) == nil
			}
		})
	}
	wg.Wait()
	return slices.Contains(heard, true)
}
