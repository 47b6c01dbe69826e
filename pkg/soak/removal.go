package soak

import (
	"fmt"
	"time"
)

const (
	// removalNotice is the notice of a removal. It is shorter than a stream takes, so that each removal breaks some off.
	removalNotice = 40 * time.Millisecond
	// replacementDelay is the time from the end of a removed engine to the start of its successor.
	replacementDelay = 300 * time.Millisecond
)

// removeEngines removes one engine after the other at short notice.
func (w *world) removeEngines() []string {
	var events []string
	start := time.Now()
	for i := 0; time.Since(start) < w.options.FaultPeriod; i++ {
		r := w.runners[i%w.shape.Engines]
		end := w.startRunnerDisturbance()
		r.RemoveAfter(removalNotice)
		events = append(events, fmt.Sprintf("%6.2f s removed %s", time.Since(start).Seconds(), r.ID()))
		time.Sleep(replacementDelay)
		w.restartRunner(r)
		end()
	}
	return events
}
