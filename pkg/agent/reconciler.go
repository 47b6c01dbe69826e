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

// step returns the next store call, or nil if none is due. None is due while desired is nil.
func (r *reconciler) step(now time.Time, desired []byte) Action {
	if r.callInProgress || desired == nil || r.current && bytes.Equal(r.value, desired) || now.Before(r.retryAt) {
		return nil
	}
	if !r.current {
		r.callInProgress = true
		return ReadObject{Key: r.key}
	}
	if now.Before(r.writeAt) {
		return nil
	}
	r.callInProgress = true
	r.writeAt = now.Add(r.interval)
	return WriteObject{Key: r.key, Value: desired, Expect: r.version}
}

// apply records an object as the watch or a store call reported it, unless a newer version has been recorded.
func (r *reconciler) apply(o store.Object) {
	if o.Version >= r.version {
		r.current, r.version, r.value = true, o.Version, o.Value
		if o.Deleted {
			r.version, r.value = store.MustNotExist, nil
		}
	}
}

func (r *reconciler) handleRead(now time.Time, o store.Object, err error) {
	r.callInProgress = false
	switch {
	case err == nil:
		r.apply(o)
	case errors.Is(err, store.ErrNotFound):
		r.current, r.version, r.value = true, store.MustNotExist, nil
	default:
		r.retryAt = now.Add(reconcileRetryDelay)
	}
}

func (r *reconciler) handleWritten(now time.Time, value []byte, version uint64, err error) {
	r.callInProgress = false
	if err == nil {
		r.apply(store.Object{Version: version, Value: value})
		return
	}
	r.current = false
	r.writeAt = time.Time{} // a failed write does not count towards the interval
	if !errors.Is(err, store.ErrConflict) {
		r.retryAt = now.Add(reconcileRetryDelay)
	}
}
