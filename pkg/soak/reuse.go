package soak

import (
	"fmt"
	"time"
)

const (
	// reuseAfter is the time from the end of a runner until its address may be given to another service.
	reuseAfter = 2 * time.Second
	// reusedLapse is the time until the entry of a runner whose address is reused lapses: three intervals of the platform.
	reusedLapse = 3600 * time.Millisecond
	// maxReuseDelay bounds how much later another runner starts at the address, maxFirstEntry how much later than that it
	// writes its first entry, and reusedTime is how long it runs.
	maxReuseDelay = 1500 * time.Millisecond
	maxFirstEntry = 1200 * time.Millisecond
	reusedTime    = 2500 * time.Millisecond
)

// reuseEngineAddress and reusePlainAddress give the address of an engine or of a plain runner that has ended to another
// service, under the same or a new id, and back.
func reuseEngineAddress(w *world, pick int, _ time.Duration) (string, func()) {
	return w.reuseAddress(pick%w.shape.Engines, pick)
}

func reusePlainAddress(w *world, pick int, _ time.Duration) (string, func()) {
	return w.reuseAddress(w.shape.Engines+pick%w.shape.PlainServices, pick)
}

func (w *world) reuseAddress(index, pick int) (string, func()) {
	r := w.runners[index]
	delay := reuseAfter + 20*time.Millisecond + time.Duration(pick/16%1000)*maxReuseDelay/1000
	firstEntry := time.Duration(pick/64%1000) * maxFirstEntry / 1000
	keepID := pick/256%2 == 0
	detail := fmt.Sprintf("runner %d after %s, first entry after %s, same id %t", index, delay, firstEntry, keepID)
	end := w.startRunnerDisturbance()
	r.CrashListed(reusedLapse)
	time.Sleep(delay)
	if err := r.StartOther("other", keepID, firstEntry); err != nil {
		w.check.recordViolation("runner", err.Error())
	}
	time.Sleep(reusedTime)
	r.Crash()
	time.Sleep(reuseAfter + 20*time.Millisecond)
	return detail, func() { w.restartRunner(r); end() }
}
