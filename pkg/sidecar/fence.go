package sidecar

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/placement"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// tokenRetryInterval is the time between two attempts to get a fencing token.
	tokenRetryInterval = 500 * time.Millisecond
	// fenceWriteTimeout bounds one write of the fence record.
	fenceWriteTimeout = 2 * time.Second
	// fenceReadTimeout bounds one read of the predecessor's record, and maxFenceReads the reads: orders wait for them
	// after a start.
	fenceReadTimeout = 700 * time.Millisecond
	maxFenceReads    = 3
	// restoreCheckInterval is the time between two checks whether the store was restored after the record was written.
	restoreCheckInterval = 500 * time.Millisecond
)

// addPending records an order before it is sent and returns its number.
func (a *Agent) addPending(now time.Time, o placement.Order, token uint64) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pending.add(now, o, a.report.Upstream.ID, a.report.Upstream.Orders, token)
}

func (a *Agent) endPending(number int, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending.end(time.Now(), number, answered)
}

// requestToken requests a new fencing token for each instance of the engine, so that orders sent to an earlier instance
// are refused once the running one has accepted an order. Until the store has answered, orders go on with the previous
// token: the reservations for unanswered orders do not depend on the store. A record that names unanswered orders is
// replaced when these have expired; otherwise the next process would reserve memory for them again.
func (a *Agent) requestToken() {
	instance := instanceOf(&a.report.Upstream)
	if instance.id == "" { // orders need the id, too
		return
	}
	a.mu.Lock()
	replace := false
	if !a.settings.ChecksTokens && a.token != 0 && !a.recordClean {
		r := a.pending.record(time.Now(), instance)
		replace = r.isClean()
		a.recordClean = replace
	}
	a.mu.Unlock()
	if a.fenced && a.fencedInstance == instance && !replace {
		return
	}
	a.fenced, a.fencedInstance = true, instance
	select { // an instance whose record has not been written is gone
	case <-a.fences:
	default:
	}
	a.fences <- instance
}

// AcquireToken gets a fencing token from the store for each instance of the engine and sets it, until ctx ends. The token
// is the revision of a write, which increases across processes, VMs and restores of the store. After a restore the record
// is written again, since the next process on this VM relies on it.
func (a *Agent) AcquireToken(ctx context.Context, store *platform.Store) {
	adopted := a.settings.ChecksTokens // the first token of this process then excludes all orders of the previous one
	var instance engineInstance        // that of the last record
	var token uint64
	check := time.NewTicker(restoreCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
			if token == 0 || platform.Era(token) == store.Era() {
				continue
			}
		case instance = <-a.fences:
			if !adopted {
				adopted = true
				a.adoptRecord(ctx, store)
			}
		}
		token = a.writeFence(ctx, store, instance)
	}
}

// adoptRecord reads what the previous process on this VM has recorded. If the store does not answer, an unknown order is
// assumed, as from the start of the process.
func (a *Agent) adoptRecord(ctx context.Context, store *platform.Store) {
	for n := 0; n < maxFenceReads && ctx.Err() == nil; n++ {
		callCtx, cancel := context.WithTimeout(ctx, fenceReadTimeout)
		objects, _, err := store.List(callCtx, platform.KindFences)
		cancel()
		if err != nil {
			a.log.State("fence record not read, retrying", "err", err)
			continue
		}
		var previous *fenceRecord
		for _, o := range objects {
			if o.Name == a.settings.Node {
				previous = decodeFenceRecord(o.Spec)
			}
		}
		a.mu.Lock()
		a.pending.adopt(time.Now(), previous)
		unanswered, instance := len(a.pending.orders), a.pending.unknownInstance
		a.mu.Unlock()
		a.log.State("fence record read", "found", previous != nil, "unanswered", unanswered, "upstream", instance.id, "born", instance.startedUnixMS)
		return
	}
}

// decodeFenceRecord decodes a record. One that cannot be decoded says that there may be unknown orders.
func decodeFenceRecord(raw []byte) *fenceRecord {
	r := &fenceRecord{}
	if err := json.Unmarshal(raw, r); err != nil {
		return &fenceRecord{Unknown: true}
	}
	return r
}

// writeFence writes the record for an instance of the engine, sets its revision as the token and returns it. It retries until
// it succeeds, or returns 0 when ctx ends or the engine has restarted again.
func (a *Agent) writeFence(ctx context.Context, store *platform.Store, instance engineInstance) uint64 {
	for ctx.Err() == nil && len(a.fences) == 0 {
		a.mu.Lock()
		record := a.pending.record(time.Now(), instance)
		a.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, fenceWriteTimeout)
		token, err := store.Write(callCtx, platform.KindFences, a.settings.Node, record)
		cancel()
		if err == nil {
			a.SetToken(token)
			a.mu.Lock()
			a.recordClean = record.isClean()
			a.mu.Unlock()
			a.log.State("fencing token acquired", "token", token, "born", instance.startedUnixMS, "unanswered", len(record.Unanswered), "unknown_order", record.Unknown)
			return token
		}
		a.log.State("acquiring the fencing token failed, retrying", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(tokenRetryInterval):
		}
	}
	return 0
}
