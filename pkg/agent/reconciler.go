package agent

import (
	"bytes"
	"errors"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// reconcileRetryDelay is the delay before the next store call for an object after a failure.
const reconcileRetryDelay = 2 * time.Second

// reconciler keeps one object in the store equal to a desired value. A lost reply to a write needs no special case: the
// object is read again before the next write.
type reconciler struct {
	key            string
	interval       time.Duration // minimum time between two writes
	current        bool          // version and value are those of the stored object
	callInProgress bool          // a store call is in progress
	version        uint64
	value          []byte
	retryAt        time.Time
	writeAt        time.Time
}

// step returns the next store call, or nil if none is due. Nothing is due while desired is nil.
func (m *reconciler) step(now time.Time, desired []byte) Action {
	if m.callInProgress || desired == nil || m.current && bytes.Equal(m.value, desired) || now.Before(m.retryAt) {
		return nil
	}
	if !m.current {
		m.callInProgress = true
		return ReadObject{Key: m.key}
	}
	if now.Before(m.writeAt) {
		return nil
	}
	m.callInProgress = true
	m.writeAt = now.Add(m.interval)
	return WriteObject{Key: m.key, Value: desired, Expect: m.version}
}

// apply records an object as the watch or a store call reported it, unless a newer version is known.
func (m *reconciler) apply(o store.Object) {
	if o.Version >= m.version {
		m.current, m.version, m.value = true, o.Version, o.Value
		if o.Deleted {
			m.version, m.value = store.MustNotExist, nil
		}
	}
}

func (m *reconciler) handleRead(now time.Time, o store.Object, err error) {
	m.callInProgress = false
	switch {
	case err == nil:
		m.apply(o)
	case errors.Is(err, store.ErrNotFound):
		m.current, m.version, m.value = true, store.MustNotExist, nil
	default:
		m.retryAt = now.Add(reconcileRetryDelay)
	}
}

func (m *reconciler) handleWritten(now time.Time, value []byte, version uint64, err error) {
	m.callInProgress = false
	if err == nil {
		m.apply(store.Object{Version: version, Value: value})
		return
	}
	m.current = false
	m.writeAt = time.Time{} // a failed write does not count towards the interval
	if !errors.Is(err, store.ErrConflict) {
		m.retryAt = now.Add(reconcileRetryDelay)
	}
}
