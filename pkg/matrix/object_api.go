package matrix

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

const (
	// storeDelay is the least latency to the object API or back. The object API responds within milliseconds.
	storeDelay = 2 * time.Millisecond
	// slowStoreDelay is the delay of a slow object API. It exceeds a client's timeout.
	slowStoreDelay = 6 * time.Second
	// storeTimeout is the timeout of a client's call.
	storeTimeout = 3 * time.Second
	// watchInterval is the interval between two updates of the watch to one process.
	watchInterval = store.WatchMinInterval
)

// objectAPI is a fake of the platform's object API with injected faults.
type objectAPI struct {
	w         *World
	objects   map[string]store.Object
	revision  uint64
	log       []store.Object
	downUntil time.Time
	slowUntil time.Time
	// loseNextWrites is the number of further writes that take effect but whose answer is lost.
	loseNextWrites int
	// staleUntil is the time until which reads return objects from the older state in stale.
	staleUntil time.Time
	stale      map[string]store.Object
	calls      int
}

func newObjectAPI(w *World) *objectAPI {
	return &objectAPI{w: w, objects: map[string]store.Object{}}
}

func (s *objectAPI) down() bool { return s.w.now.Before(s.downUntil) }
func (s *objectAPI) slow() bool { return s.w.now.Before(s.slowUntil) }

// get reads an object and calls done with it, or with an error if the API is down or after storeTimeout.
func (s *objectAPI) get(key string, done func(store.Object, error)) {
	s.calls++
	if s.down() {
		s.w.after(storeDelay, func() { done(store.Object{Key: key}, store.ErrUnavailable) })
		return
	}
	if s.slow() {
		s.w.after(storeTimeout, func() { done(store.Object{Key: key}, store.ErrUnavailable) })
		return
	}
	s.w.after(s.w.between(storeDelay, 5*storeDelay), func() {
		view := s.objects
		if s.w.now.Before(s.staleUntil) {
			view = s.stale
		}
		o, ok := view[key]
		var err error
		if !ok {
			o, err = store.Object{Key: key}, store.ErrNotFound
		}
		s.w.after(storeDelay, func() { done(o, err) })
	})
}

// list reads all objects with the prefix, sorted by key.
func (s *objectAPI) list(prefix string, done func([]store.Object, error)) {
	s.calls++
	if s.down() || s.slow() {
		s.w.after(storeTimeout, func() { done(nil, store.ErrUnavailable) })
		return
	}
	s.w.after(storeDelay, func() {
		out := s.withPrefix(prefix)
		s.w.after(storeDelay, func() { done(out, nil) })
	})
}

func (s *objectAPI) withPrefix(prefix string) []store.Object {
	var out []store.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b store.Object) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// put makes a conditional update. A slow write takes effect after its client's timeout.
func (s *objectAPI) put(key string, value []byte, expect uint64, done func(uint64, error)) {
	s.calls++
	value = slices.Clone(value)
	switch {
	case s.down():
		s.w.after(storeDelay, func() { done(0, store.ErrUnavailable) })
	case s.slow():
		s.w.after(s.w.between(storeTimeout, 4*slowStoreDelay), func() { _, _ = s.apply(key, value, expect) })
		s.w.after(storeTimeout, func() { done(0, store.ErrUnknown) })
	case s.loseNextWrites > 0:
		s.loseNextWrites--
		s.w.after(s.w.between(storeDelay, 20*time.Second), func() { _, _ = s.apply(key, value, expect) })
		s.w.after(storeTimeout, func() { done(0, store.ErrUnknown) })
	default:
		s.w.after(s.w.between(storeDelay, 5*storeDelay), func() {
			v, err := s.apply(key, value, expect)
			s.w.after(storeDelay, func() { done(v, err) })
		})
	}
}

func (s *objectAPI) apply(key string, value []byte, expect uint64) (uint64, error) {
	if s.objects[key].Version != expect && !s.w.defects.IgnoreCondition {
		return 0, store.ErrConflict
	}
	s.revision++
	o := store.Object{Key: key, Version: s.revision, Value: value}
	s.objects[key] = o
	s.log = append(s.log, o)
	s.w.objectChanged(o)
	return s.revision, nil
}

// since returns the newest version of each object that changed after the revision, in the order of the changes.
func (s *objectAPI) since(revision uint64) []store.Object {
	i := len(s.log)
	for i > 0 && s.log[i-1].Version > revision {
		i--
	}
	var out []store.Object
	for _, o := range s.log[i:] {
		if s.objects[o.Key].Version == o.Version {
			out = append(out, o)
		}
	}
	return out
}

// serveStale makes reads return the current state for d, whatever is written meanwhile.
func (s *objectAPI) serveStale(d time.Duration) {
	s.staleUntil = s.w.now.Add(d)
	s.stale = make(map[string]store.Object, len(s.objects))
	for key, o := range s.objects {
		s.stale[key] = o
	}
}
