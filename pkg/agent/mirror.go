package agent

import (
	"bytes"
	"errors"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// mirrorRetry is the time between two store calls for one object after a failure.
const mirrorRetry = 2 * time.Second

// mirror keeps one object in the store equal to a wanted value. A lost answer needs no special case: the object is
// read again before the next write.
type mirror struct {
	key      string
	interval time.Duration // least time between two writes
	known    bool          // version and value are those of the object
	busy     bool          // a store call is out
	version  uint64
	value    []byte
	retryAt  time.Time
	writeAt  time.Time
}

// step returns the next store call, if one is due. A nil want asks for nothing.
func (m *mirror) step(now time.Time, want []byte) Action {
	if m.busy || want == nil || m.known && bytes.Equal(m.value, want) || now.Before(m.retryAt) {
		return nil
	}
	if !m.known {
		m.busy = true
		return ReadObject{Key: m.key}
	}
	if now.Before(m.writeAt) {
		return nil
	}
	m.busy = true
	m.writeAt = now.Add(m.interval)
	return WriteObject{Key: m.key, Value: want, Expect: m.version}
}

// seen takes a change seen by the watch.
func (m *mirror) seen(o store.Object) {
	if o.Version >= m.version {
		m.known, m.version, m.value = true, o.Version, o.Value
		if o.Deleted {
			m.version, m.value = store.MustNotExist, nil
		}
	}
}

func (m *mirror) read(now time.Time, o store.Object, err error) {
	m.busy = false
	switch {
	case err == nil:
		m.seen(o)
	case errors.Is(err, store.ErrNotFound):
		m.known, m.version, m.value = true, store.MustNotExist, nil
	default:
		m.retryAt = now.Add(mirrorRetry)
	}
}

func (m *mirror) written(now time.Time, value []byte, version uint64, err error) {
	m.busy = false
	if err == nil {
		m.seen(store.Object{Version: version, Value: value})
		return
	}
	m.known = false
	m.writeAt = time.Time{} // the write did not count
	if !errors.Is(err, store.ErrConflict) {
		m.retryAt = now.Add(mirrorRetry)
	}
}
