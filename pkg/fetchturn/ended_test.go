package fetchturn

import (
	"testing"
	"time"
)

// TestInstanceEnded guards against the fetch of an engine that has crashed which keeps its place at the weight store for
// as long as the engine is down.
func TestInstanceEnded(t *testing.T) {
	now := time.Unix(1000, 0)
	var tracker Tracker
	tracker.Order(now, "a", "i-1", 3)
	tracker.Accepted(now, "a", 3)
	tracker.InstanceEnded(now.Add(2 * time.Second))
	fetch, ended := tracker.State(now.Add(2 * time.Second))
	if fetch != nil || ended == nil || ended.Loaded {
		t.Fatalf("in progress %+v, ended %+v", fetch, ended)
	}
}
