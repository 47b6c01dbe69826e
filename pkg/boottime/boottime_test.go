package boottime_test

import (
	"testing"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/boottime"
)

// TestNow guards against a clock that goes backwards or is converted with the wrong unit.
func TestNow(t *testing.T) {
	wall, start := time.Now(), boottime.Now()
	<-time.After(20 * time.Millisecond)
	elapsed, real := boottime.Now().Sub(start), time.Since(wall)
	if elapsed < 20*time.Millisecond-time.Millisecond || elapsed > real+time.Millisecond {
		t.Fatalf("%s have passed, the clock counted %s", real, elapsed)
	}
	if start.Add(time.Second).Sub(start) != time.Second {
		t.Fatal("Add and Sub do not agree")
	}
}
