package membudget

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// ErrFull is returned for a reservation that found no memory in its time.
var ErrFull = errors.New("memory for requests is used up")

// recheckInterval is the time between two searches for stalled transfers on behalf of a reservation that waits.
const recheckInterval = 100 * time.Millisecond

// Account is a Budget that is safe for concurrent use.
type Account struct {
	mu      sync.Mutex
	budget  *Budget
	waiters []*waiter
	// reclaimed and refused count transfers that were ended and reservations that found no memory.
	reclaimed, refused int64
}

type waiter struct {
	holder  *Holder
	bytes   int64
	granted chan struct{}
}

// NewAccount returns an empty account.
func NewAccount(l Limits) *Account { return &Account{budget: NewBudget(l)} }

// ReserveConnection reserves memory for a connection.
func (a *Account) ReserveConnection(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.ReserveConnection(n)
}

// ReleaseConnection releases the memory of a connection.
func (a *Account) ReleaseConnection(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.ReleaseConnection(n)
}

// Open returns a holder for a client address with the memory of a request in progress, which it waits for.
func (a *Account) Open(address string, wait time.Duration) (*Holder, error) {
	a.mu.Lock()
	h, ok := a.budget.Open(address)
	a.reclaimed += int64(a.budget.Relieve(time.Now()))
	a.mu.Unlock()
	if ok {
		return h, nil
	}
	return h, a.wait(h, h.base, wait)
}

// Reserve reserves n bytes for the holder. If there is no memory, it ends stalled transfers and waits.
func (a *Account) Reserve(h *Holder, n int64, wait time.Duration) error {
	a.mu.Lock()
	ok := a.budget.Reserve(h, n)
	a.reclaimed += int64(a.budget.Relieve(time.Now()))
	a.mu.Unlock()
	if ok {
		return nil
	}
	return a.wait(h, n, wait)
}

// ReserveAnswer reserves n bytes for a part of an answer. The first part may take the section for answers: the request has
// run, and those that wait must not take the last memory from its answer.
func (a *Account) ReserveAnswer(h *Holder, n int64, wait time.Duration, first bool) error {
	a.setAnswering(h, first)
	defer a.setAnswering(h, false)
	return a.Reserve(h, n, wait)
}

func (a *Account) setAnswering(h *Holder, answering bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h.answering = answering
}

func (a *Account) wait(h *Holder, n int64, wait time.Duration) error {
	w := &waiter{holder: h, bytes: n, granted: make(chan struct{})}
	a.mu.Lock()
	if h.ended { // its memory is needed by others
		a.refused++
		a.mu.Unlock()
		return ErrFull
	}
	h.waiting = true
	a.waiters = append(a.waiters, w)
	a.grant() // memory may have been released since the reservation failed
	a.reclaim(w)
	a.mu.Unlock()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		select {
		case <-w.granted:
			return nil
		case <-recheck.C:
			a.mu.Lock()
			a.reclaim(w)
			a.mu.Unlock()
		case <-timeout.C:
			return a.giveUp(w)
		}
	}
}

func (a *Account) giveUp(w *waiter) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return nil // granted at the same moment
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	w.holder.waiting = false
	a.refused++
	return ErrFull
}

// reclaim ends stalled transfers for a reservation that waits. The caller holds the lock.
func (a *Account) reclaim(w *waiter) {
	if !slices.Contains(a.waiters, w) {
		return
	}
	a.reclaimed += int64(a.budget.Reclaim(time.Now(), w.holder, w.bytes))
}

// grant grants the reservations that fit now, the oldest first. The caller holds the lock.
func (a *Account) grant() {
	a.waiters = slices.DeleteFunc(a.waiters, func(w *waiter) bool {
		if !a.budget.Reserve(w.holder, w.bytes) {
			return false
		}
		w.holder.waiting = false
		w.holder.pace = NewPace(time.Now(), stallGrace) // the time that it waited for memory is not its peer's
		close(w.granted)
		return true
	})
}

// Release releases n bytes of the holder.
func (a *Account) Release(h *Holder, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Release(h, n)
	a.grant()
}

// Close releases all that the holder has.
func (a *Account) Close(h *Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Close(h)
	a.grant()
}

// StartTransfer records that the holder waits for its peer from now on. If others need its memory while it makes no
// progress, end is called, which must not block.
func (a *Account) StartTransfer(h *Holder, end func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.StartTransfer(time.Now(), h, end)
}

// EndTransfer records that the holder no longer waits for its peer; end is not called afterwards. It reports whether end
// was called.
func (a *Account) EndTransfer(h *Holder) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.EndTransfer(h)
}

// Advance records n bytes that the holder's transfer has moved. It reports whether the transfer was ended.
func (a *Account) Advance(h *Holder, n int64) (ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Advance(time.Now(), h, n)
	return h.ended
}

// EndStalled ends one stalled transfer, whatever is free, because others need its connection.
func (a *Account) EndStalled() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reclaimed += int64(a.budget.EndStalled(time.Now()))
}

// Counts are the numbers of transfers that were ended for others and of reservations that found no memory.
type Counts struct{ Reclaimed, Refused int64 }

// Usage returns the state of the account.
func (a *Account) Usage() (Usage, Counts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Usage(), Counts{Reclaimed: a.reclaimed, Refused: a.refused}
}
