package standin

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// DefaultStoreLogSize is the number of changes that a MemStore keeps for watches; older revisions are compacted.
const DefaultStoreLogSize = 10000

// StoreFaults are the faults of an object API stand-in. The zero value is a healthy store.
type StoreFaults struct {
	// Down makes each call fail with store.ErrUnavailable and without effect.
	Down bool `json:"down"`
	// DelayMS delays the effect and the answer of each call, in ms.
	DelayMS int64 `json:"delayMs"`
	// LoseWrites is the number of next successful writes that take effect but return store.ErrUnknown.
	LoseWrites int `json:"loseWrites"`
	// StaleReads is the number of revisions by which Get and List lag behind. Watches are not affected.
	StaleReads uint64 `json:"staleReads"`
}

// StoreCounts counts calls by kind, including failed ones.
type StoreCounts struct {
	Get    uint64 `json:"get"`
	Put    uint64 `json:"put"`
	Delete uint64 `json:"delete"`
	List   uint64 `json:"list"`
	Watch  uint64 `json:"watch"`
}

// storeChange is an entry of a MemStore's log.
type storeChange struct {
	object store.Object
	prev   *store.Object // object before the change; nil if the key had none
}

// MemStore is an in-memory object store, usable without sockets. It is safe for concurrent use.
type MemStore struct {
	mu       sync.Mutex
	objects  map[string]store.Object
	log      []storeChange
	logSize  int
	minSince uint64 // lowest revision that a watch can start from
	revision uint64
	changed  chan struct{} // closed and replaced at each change
	faults   StoreFaults
	counts   StoreCounts
}

var _ store.Store = (*MemStore)(nil)

// NewMemStore returns an empty store that keeps logSize changes for watches (0 for DefaultStoreLogSize).
func NewMemStore(logSize int) *MemStore {
	if logSize <= 0 {
		logSize = DefaultStoreLogSize
	}
	return &MemStore{objects: map[string]store.Object{}, logSize: logSize, changed: make(chan struct{})}
}

// SetFaults replaces the active faults. It wakes waiting watches, so that they fail at once in an outage.
func (m *MemStore) SetFaults(f StoreFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.notifyChanged()
}

// Faults returns the active faults.
func (m *MemStore) Faults() StoreFaults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Counts returns the number of calls so far, by kind.
func (m *MemStore) Counts() StoreCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

func (m *MemStore) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// beginCall counts the call, applies the injected delay and returns an error during an injected outage.
func (m *MemStore) beginCall(ctx context.Context, key string, count *uint64) error {
	m.mu.Lock()
	*count++
	f := m.faults
	m.mu.Unlock()
	if err := wait(ctx, time.Duration(f.DelayMS)*time.Millisecond); err != nil {
		return fault.Wrap(fmt.Errorf("%w: %w", store.ErrUnavailable, err), fault.StepStore, key, "wait for the store")
	}
	if f.Down {
		return fault.Wrap(store.ErrUnavailable, fault.StepStore, key, "store is down")
	}
	return nil
}

// wait returns nil after d, or the error of ctx if ctx ends first.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Get implements store.Store.
func (m *MemStore) Get(ctx context.Context, key string) (store.Object, error) {
	if err := m.beginCall(ctx, key, &m.counts.Get); err != nil {
		return store.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	view, _ := m.readView()
	o, ok := view[key]
	if !ok {
		return store.Object{}, fault.Wrap(store.ErrNotFound, fault.StepStore, key, "get object")
	}
	return copyObject(o), nil
}

// readView returns the objects that a read returns and their revision, which is older by StaleReads.
func (m *MemStore) readView() (map[string]store.Object, uint64) {
	if m.faults.StaleReads == 0 {
		return m.objects, m.revision
	}
	revision := m.revision - min(m.revision, m.faults.StaleReads)
	old := make(map[string]store.Object, len(m.objects))
	for k, o := range m.objects {
		old[k] = o
	}
	for i := len(m.log) - 1; i >= 0 && m.log[i].object.Version > revision; i-- {
		c := m.log[i]
		if c.prev == nil {
			delete(old, c.object.Key)
		} else {
			old[c.object.Key] = *c.prev
		}
	}
	return old, revision
}

// Put implements store.Store.
func (m *MemStore) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if err := m.beginCall(ctx, key, &m.counts.Put); err != nil {
		return 0, err
	}
	if len(value) > store.MaxValueBytes {
		return 0, fault.Newf(fault.StepStore, key, "value of %d bytes is over the limit of %d", len(value), store.MaxValueBytes)
	}
	return m.write(key, expect, store.Object{Key: key, Value: append([]byte{}, value...)})
}

// Delete implements store.Store. It returns store.ErrNotFound if there is no object.
func (m *MemStore) Delete(ctx context.Context, key string, expect uint64) error {
	if err := m.beginCall(ctx, key, &m.counts.Delete); err != nil {
		return err
	}
	_, err := m.write(key, expect, store.Object{Key: key, Deleted: true})
	return err
}

func (m *MemStore) write(key string, expect uint64, o store.Object) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, exists := m.objects[key]
	if !exists && o.Deleted {
		return 0, fault.Wrap(store.ErrNotFound, fault.StepStore, key, "delete object")
	}
	if old.Version != expect {
		return 0, fault.Wrap(store.ErrConflict, fault.StepStore, key, fmt.Sprintf("object has version %d, expected %d", old.Version, expect))
	}
	m.revision++
	o.Version = m.revision
	change := storeChange{object: o}
	if exists {
		change.prev = &old
	}
	if o.Deleted {
		delete(m.objects, key)
	} else {
		m.objects[key] = o
	}
	m.log = append(m.log, change)
	if drop := len(m.log) - m.logSize; drop > 0 {
		m.minSince = m.log[drop-1].object.Version
		m.log = append([]storeChange{}, m.log[drop:]...)
	}
	m.notifyChanged()
	if m.faults.LoseWrites > 0 {
		m.faults.LoseWrites--
		return 0, fault.Wrap(store.ErrUnknown, fault.StepStore, key, "answer lost")
	}
	return m.revision, nil
}

// List implements store.Store.
func (m *MemStore) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	if err := m.beginCall(ctx, prefix, &m.counts.List); err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	view, revision := m.readView()
	var out []store.Object
	for key, o := range view {
		if strings.HasPrefix(key, prefix) {
			out = append(out, copyObject(o))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, revision, nil
}

// Watch implements store.Store. Changes are in the order of their revisions, one entry for each write.
func (m *MemStore) Watch(ctx context.Context, since uint64, hold time.Duration) ([]store.Object, uint64, error) {
	if err := m.beginCall(ctx, "watch", &m.counts.Watch); err != nil {
		return nil, 0, err
	}
	holdTimer := time.NewTimer(hold)
	defer holdTimer.Stop()
	for {
		out, revision, changed, err := m.changesSince(since)
		if err != nil || len(out) > 0 {
			return out, revision, err
		}
		select {
		case <-changed:
		case <-holdTimer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, fault.Wrap(fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err()), fault.StepStore, "watch", "wait for changes")
		}
	}
}

// changesSince returns the changes after a revision, the current revision, and a channel that is closed at the next
// change.
func (m *MemStore) changesSince(since uint64) ([]store.Object, uint64, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return nil, 0, nil, fault.Wrap(store.ErrUnavailable, fault.StepStore, "watch", "store is down")
	}
	if since < m.minSince {
		return nil, 0, nil, fault.Wrap(store.ErrCompacted, fault.StepStore, "watch", fmt.Sprintf("revision %d is older than %d", since, m.minSince))
	}
	var out []store.Object
	first := sort.Search(len(m.log), func(i int) bool { return m.log[i].object.Version > since })
	for _, c := range m.log[first:] {
		out = append(out, copyObject(c.object))
	}
	return out, m.revision, m.changed, nil
}

func copyObject(o store.Object) store.Object {
	o.Value = append([]byte{}, o.Value...)
	return o
}
