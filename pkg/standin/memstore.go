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

// DefaultStoreLogSize is how many changes a MemStore keeps for watches; an older revision is compacted.
const DefaultStoreLogSize = 10000

// StoreFaults are the faults of an object API stand-in. The zero value is a healthy store.
type StoreFaults struct {
	// Down makes each call fail with store.ErrUnavailable and without effect.
	Down bool `json:"down"`
	// DelayMS delays the effect and the answer of each call, ms.
	DelayMS int64 `json:"delayMs"`
	// LoseWrites is how many of the next successful writes take effect and lose their answer (store.ErrUnknown).
	LoseWrites int `json:"loseWrites"`
	// StaleReads makes Get and List show the store as it was so many revisions ago. Watches are not affected.
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

type storeChange struct {
	now  store.Object
	prev *store.Object // before the change; nil if the key had no object
}

// MemStore is an object API in memory, usable without sockets. It is safe for concurrent use.
type MemStore struct {
	mu       sync.Mutex
	objects  map[string]store.Object
	log      []storeChange
	logSize  int
	oldest   uint64 // the highest revision that a watch can no longer start from, plus one
	revision uint64
	changed  chan struct{} // closed and replaced at each change
	faults   StoreFaults
	counts   StoreCounts
}

var _ store.Store = (*MemStore)(nil)

// NewMemStore returns an empty store that keeps logSize changes for watches (0 for DefaultStoreLog).
func NewMemStore(logSize int) *MemStore {
	if logSize <= 0 {
		logSize = DefaultStoreLogSize
	}
	return &MemStore{objects: map[string]store.Object{}, logSize: logSize, changed: make(chan struct{})}
}

// SetFaults replaces the faults in force. Waiting watches end, so that an outage reaches them too.
func (m *MemStore) SetFaults(f StoreFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.wake()
}

// Faults returns the faults in force.
func (m *MemStore) Faults() StoreFaults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Counts returns the calls counted so far.
func (m *MemStore) Counts() StoreCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

func (m *MemStore) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// begin counts the call, waits for the delay fault and reports an outage.
func (m *MemStore) begin(ctx context.Context, key string, count *uint64) error {
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

// wait returns after d, or with ctx's error if ctx ends first.
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
	if err := m.begin(ctx, key, &m.counts.Get); err != nil {
		return store.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	view, _ := m.view()
	o, ok := view[key]
	if !ok {
		return store.Object{}, fault.Wrap(store.ErrNotFound, fault.StepStore, key, "get object")
	}
	return copyObject(o), nil
}

// view returns the objects that a read shows and their revision.
func (m *MemStore) view() (map[string]store.Object, uint64) {
	if m.faults.StaleReads == 0 {
		return m.objects, m.revision
	}
	revision := m.revision - min(m.revision, m.faults.StaleReads)
	old := make(map[string]store.Object, len(m.objects))
	for k, o := range m.objects {
		old[k] = o
	}
	for i := len(m.log) - 1; i >= 0 && m.log[i].now.Version > revision; i-- {
		c := m.log[i]
		if c.prev == nil {
			delete(old, c.now.Key)
		} else {
			old[c.now.Key] = *c.prev
		}
	}
	return old, revision
}

// Put implements store.Store.
func (m *MemStore) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if err := m.begin(ctx, key, &m.counts.Put); err != nil {
		return 0, err
	}
	if len(value) > store.MaxValueBytes {
		return 0, fault.Newf(fault.StepStore, key, "value of %d bytes is over the limit of %d", len(value), store.MaxValueBytes)
	}
	return m.write(key, expect, store.Object{Key: key, Value: append([]byte{}, value...)})
}

// Delete implements store.Store. It returns store.ErrNotFound if there is no object.
func (m *MemStore) Delete(ctx context.Context, key string, expect uint64) error {
	if err := m.begin(ctx, key, &m.counts.Delete); err != nil {
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
	change := storeChange{now: o}
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
		m.oldest = m.log[drop-1].now.Version
		m.log = append([]storeChange{}, m.log[drop:]...)
	}
	m.wake()
	if m.faults.LoseWrites > 0 {
		m.faults.LoseWrites--
		return 0, fault.Wrap(store.ErrUnknown, fault.StepStore, key, "answer lost")
	}
	return m.revision, nil
}

// List implements store.Store.
func (m *MemStore) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	if err := m.begin(ctx, prefix, &m.counts.List); err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	view, revision := m.view()
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
	if err := m.begin(ctx, "watch", &m.counts.Watch); err != nil {
		return nil, 0, err
	}
	held := time.NewTimer(hold)
	defer held.Stop()
	for {
		out, revision, changed, err := m.changesSince(since)
		if err != nil || len(out) > 0 {
			return out, revision, err
		}
		select {
		case <-changed:
		case <-held.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, fault.Wrap(fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err()), fault.StepStore, "watch", "wait for changes")
		}
	}
}

func (m *MemStore) changesSince(since uint64) ([]store.Object, uint64, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return nil, 0, nil, fault.Wrap(store.ErrUnavailable, fault.StepStore, "watch", "store is down")
	}
	if since < m.oldest {
		return nil, 0, nil, fault.Wrap(store.ErrCompacted, fault.StepStore, "watch", fmt.Sprintf("revision %d is older than %d", since, m.oldest))
	}
	var out []store.Object
	first := sort.Search(len(m.log), func(i int) bool { return m.log[i].now.Version > since })
	for _, c := range m.log[first:] {
		out = append(out, copyObject(c.now))
	}
	return out, m.revision, m.changed, nil
}

func copyObject(o store.Object) store.Object {
	o.Value = append([]byte{}, o.Value...)
	return o
}
