package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

const (
	// revokeDelay is the time within which withdrawn keys stop working.
	revokeDelay = 5 * time.Second
	// withdrawalFault is the duration of a fault around a withdrawal. Requests must still arrive after revokeDelay.
	withdrawalFault = 7 * time.Second
	// lateFault is when a router that is partitioned from the store is paused in addition, and latePause for how long: the
	// requests that it receives meanwhile are sent after revokeDelay.
	lateFault = 4 * time.Second
	latePause = 2 * time.Second
	// markInterval is the time between two records of a disturbance that goes on.
	markInterval = 500 * time.Millisecond

	permanentKey = "permanent"
	tenantName   = "callers"
)

// keyring knows the keys of the tenant and when each was withdrawn.
type keyring struct {
	mu          sync.Mutex
	keys        []string // the last one is valid
	withdrawnAt map[string]time.Time
}

// rotate adds a key and withdraws the one before through the function write.
func (k *keyring) rotate(write func(keys ...string)) {
	k.mu.Lock()
	key := fmt.Sprintf("key-%d", len(k.keys))
	k.mu.Unlock()
	write(permanentKey, key)
	k.mu.Lock()
	defer k.mu.Unlock()
	if n := len(k.keys); n > 0 {
		k.withdrawnAt[k.keys[n-1]] = time.Now()
	}
	k.keys = append(k.keys, key)
}

// pick returns the key of a request: the permanent one, or one of the last three.
func (k *keyring) pick(random *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n := len(k.keys); n > 0 && random.IntN(2) == 0 {
		return k.keys[max(0, n-1-random.IntN(3))]
	}
	return permanentKey
}

// mayRun reports whether a request that was sent at the time with the key may run.
func (k *keyring) mayRun(key string, sentAt time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, withdrawn := k.withdrawnAt[key]
	return key != "" && (!withdrawn || !sentAt.After(at.Add(revokeDelay)))
}

// setKey sets the key and a forged tenant of a request.
func (c *caller) setKey(h http.Header, id string) {
	if !c.world.options.WithdrawKeys {
		return
	}
	key := permanentKey
	if !c.measuring {
		key = c.world.keys.pick(c.random)
	}
	standin.SetKey(h, key)
	standin.SetTenant(h, standin.ForgedTenant)
	c.world.check.recordKey(id, key)
}

// checkUnauthorized checks an answer with status 401.
func (c *caller) checkUnauthorized(kind, id string) {
	if key := c.world.check.keyOf(id); key == permanentKey || key == "" {
		c.world.check.recordViolation("denied", fmt.Sprintf("%s %s with key %q was answered 401", kind, id, key))
	}
	if c.world.check.hasRun(id) {
		c.world.check.recordViolation("refused", fmt.Sprintf("%s %s was answered 401 although it had run", kind, id))
	}
}

func (c *checker) recordKey(id, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id].key, c.requests[id].sentAt = key, time.Now()
}

func (c *checker) keyOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id].key
}

// withdrawKeys withdraws one key after the other while a router, or all of them, are partitioned from the store.
func (w *world) withdrawKeys() []string {
	var events []string
	start := time.Now()
	for i := 0; time.Since(start) < w.options.FaultPeriod; i++ {
		entries := []int{i % w.shape.Entries}
		if i%3 == 2 {
			entries = entries[:0]
			for n := range w.shape.Entries {
				entries = append(entries, n)
			}
		}
		for _, n := range entries {
			w.storeProxies[n].Set(Blackhole, false)
		}
		w.keys.rotate(w.writeKeys)
		events = append(events, fmt.Sprintf("%6.2f s key withdrawn, entries %v partitioned from the store", time.Since(start).Seconds(), entries))
		w.hold(entries, i%3 == 1)
		for _, n := range entries {
			w.storeProxies[n].Set(Pass, true) // the connections of the fault are gone
			w.storeProxies[n].Reset()
			w.storeProxies[n].Set(Pass, false)
		}
	}
	return events
}

// hold lasts withdrawalFault. It pauses the first entry meanwhile if pause is true.
func (w *world) hold(entries []int, pause bool) {
	for start := time.Now(); time.Since(start) < withdrawalFault; time.Sleep(markInterval) {
		for n, p := range w.entries() {
			if slices.Contains(entries, n) {
				p.markDisturbed()
			}
		}
		if pause && time.Since(start) > lateFault {
			pause = false
			p := w.processes[entries[0]]
			p.signal(syscall.SIGSTOP, false)
			time.Sleep(latePause)
			p.signal(syscall.SIGCONT, false)
		}
	}
}
