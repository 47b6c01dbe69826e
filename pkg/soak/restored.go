package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

const (
	// maxCopyAge bounds the age of the copy that a store is restored from, maxStoreAway the time that it is away for, and
	// maxRewriteDelay the time after which the operator has written the configuration again.
	maxCopyAge      = 3 * time.Second
	maxStoreAway    = 2 * time.Second
	maxRewriteDelay = 500 * time.Millisecond
)

// restoreStore lets the store be away for a moment and come back from a copy. A change of the configuration right before is
// lost and written again. Runners write their entries again with their next heartbeats; those of runners that have ended
// since the copy lapse.
func restoreStore(w *world, pick int, _ time.Duration) (string, func()) {
	random := rand.New(rand.NewPCG(uint64(pick), 2))
	age, away := randomTime(random, maxCopyAge), randomTime(random, maxStoreAway)
	fault := []standin.Fault{standin.FaultDown, standin.FaultUnresponsive}[random.IntN(2)]
	copied := w.store.Copy()
	time.Sleep(age)
	w.writeConfig()
	time.Sleep(randomTime(random, 100*time.Millisecond))
	w.markStoreDisturbed(false)
	w.store.SetFault(fault)
	time.Sleep(away)
	w.store.Restore(copied)
	w.store.SetFault(standin.FaultNone)
	time.Sleep(randomTime(random, maxRewriteDelay))
	w.rewriteConfig()
	time.Sleep(standin.RegistrationTime)
	w.removeLapsed()
	return fmt.Sprintf("copy %s old, away for %s with fault %d", age.Round(time.Millisecond), away.Round(time.Millisecond), fault), func() { w.markStoreDisturbed(true) }
}

func randomTime(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// rewriteConfig writes the newest version of the configuration again.
func (w *world) rewriteConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versionWritten = time.Now()
	w.store.Put("config", "main", w.config)
}

// removeLapsed removes the entries of runners that have ended.
func (w *world) removeLapsed() {
	live := map[string]bool{}
	for _, r := range w.runners {
		if r.Alive() {
			live[r.ID()] = true
		}
	}
	for _, id := range w.store.Names("servers") {
		if !live[id] {
			w.store.Remove("servers", id)
		}
	}
}
