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

// isShared reports whether peers exchange the object with this key through ObjectsGet. The configuration and the
// quarantine list have messages of their own.
func isShared(key string) bool {
	return strings.HasPrefix(key, store.PrefixUpstreams) || strings.HasPrefix(key, store.PrefixGrants) || strings.HasPrefix(key, store.PrefixOwners)
}

// record stores the state of an object that is about to be delivered. The caller holds mu.
func (w *Watcher) record(o store.Object, fromPeer bool) {
	last := deliveredObject{version: o.Version, deleted: o.Deleted, fromPeer: fromPeer}
	if isShared(o.Key) && !o.Deleted {
		last.value = o.Value
	}
	w.versions[o.Key] = last
}

// Snapshot returns the last delivered value of each object under upstreams/, grants/ and owners/, sorted by key. The
// values must not be changed. It is safe for concurrent use.
func (w *Watcher) Snapshot() []wire.Object {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []wire.Object
	for key, last := range w.versions {
		if isShared(key) && !last.deleted {
			out = append(out, wire.Object{Key: key, Version: last.version, Value: last.value})
		}
	}
	slices.SortFunc(out, func(a, b wire.Object) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Offer delivers those of a peer's copies that are newer than the last delivered version. After the first listing it
// ignores all copies, since one could restore an object whose deletion a listing has confirmed. It blocks while the
// ring is full and returns ctx's error if ctx ends first. It is safe for concurrent use.
func (w *Watcher) Offer(ctx context.Context, objects []wire.Object) error {
	w.deliverMu.Lock()
	defer w.deliverMu.Unlock()
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
		if !isShared(c.Key) || !w.isWatched(c.Key) || c.Version <= w.versions[c.Key].version {
			continue
		}
		o := store.Object{Key: c.Key, Version: c.Version, Value: c.Value}
		w.record(o, true)
		out = append(out, o)
	}
	return out
}

// QueryFunc sends a query to the process at an address and returns its reply.
type QueryFunc func(ctx context.Context, addr string, query wire.Message) (wire.Message, error)

// BootstrapFromPeers queries up to confsync.MaxPeers of the peers for their objects, and passes the replies to Offer,
// if the first call to the store fails or takes longer than confsync.RetryInterval. It retries at that interval and
// returns when a listing has succeeded, a peer has replied with objects, or ctx has ended.
func (w *Watcher) BootstrapFromPeers(ctx context.Context, peers func() []string, query QueryFunc) {
	if !w.waitUnlisted(ctx, time.Now(), w.failed) {
		return
	}
	for {
		startedAt := time.Now()
		if w.queryPeers(ctx, peers(), query) || !w.waitUnlisted(ctx, startedAt, nil) {
			return
		}
	}
}

// waitUnlisted waits for early or until RetryInterval after startedAt. It returns false as soon as a listing has
// succeeded or ctx has ended.
func (w *Watcher) waitUnlisted(ctx context.Context, startedAt time.Time, early <-chan struct{}) bool {
	t := time.NewTimer(time.Until(startedAt.Add(confsync.RetryInterval)))
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

// queryPeers queries the peers concurrently and reports whether one has replied with objects.
func (w *Watcher) queryPeers(ctx context.Context, peers []string, query QueryFunc) bool {
	peers = peers[:min(len(peers), confsync.MaxPeers)]
	received := make([]bool, len(peers))
	var wg sync.WaitGroup
	for i, addr := range peers {
		wg.Go(func() {
			queryCtx, cancel := context.WithTimeout(ctx, confsync.FetchTimeout)
			defer cancel()
			m, err := query(queryCtx, addr, &wire.ObjectsGet{})
			if list, ok := m.(*wire.ObjectsList); err == nil && ok && len(list.Objects) > 0 {
				received[i] = w.Offer(ctx, list.Objects) == nil
			}
		})
	}
	wg.Wait()
	return slices.Contains(received, true)
}
