// Package capacity measures how state, messages and CPU time grow with the size of a deployment, and calculates from
// the slopes whether the design scale stays within its budgets.
package capacity

import (
	"math"
	"runtime"
	"syscall"
	"time"
)

// Point is one measurement: Value at size N.
type Point struct {
	N     float64
	Value float64
}

// Fit is a line that is fitted to points by least squares.
type Fit struct {
	Points    []Point
	Slope     float64
	Intercept float64
	// Residuals are the differences of the points from the line, relative to the values of the points.
	Residuals []float64
}

// NewFit returns the line fitted to two or more points. The squares are weighted by 1/Value², so that small sizes count
// as much as large ones.
func NewFit(points []Point) Fit {
	var w, wx, wy, wxx, wxy float64
	for _, p := range points {
		weight := 1 / math.Max(p.Value*p.Value, 1e-12)
		w += weight
		wx += weight * p.N
		wy += weight * p.Value
		wxx += weight * p.N * p.N
		wxy += weight * p.N * p.Value
	}
	f := Fit{Points: points}
	if d := w*wxx - wx*wx; d != 0 {
		f.Slope = (w*wxy - wx*wy) / d
	}
	f.Intercept = (wy - f.Slope*wx) / w
	for _, p := range points {
		f.Residuals = append(f.Residuals, (p.Value-f.At(p.N))/math.Max(math.Abs(p.Value), 1e-12))
	}
	return f
}

// At returns the value of the line at size n, or 0 if it is negative.
func (f Fit) At(n float64) float64 { return math.Max(0, f.Intercept+f.Slope*n) }

// WorstResidual returns the largest absolute residual.
func (f Fit) WorstResidual() float64 {
	worst := 0.0
	for _, r := range f.Residuals {
		worst = math.Max(worst, math.Abs(r))
	}
	return worst
}

// heapBytes returns the size of the live heap of the result of build: the least of three measurements.
func heapBytes(build func() any) float64 {
	best := math.Inf(1)
	for range 3 {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&before)
		v := build()
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(v)
		best = math.Min(best, float64(after.HeapAlloc)-float64(before.HeapAlloc))
	}
	return best
}

// cpuMicros returns the CPU time of one call of f in microseconds, including system time and garbage collection. It is
// the least mean of three rounds of at least 100 ms, because other load on the machine only adds to it.
func cpuMicros(f func()) float64 {
	f() // warms up caches
	best := math.Inf(1)
	for range 3 {
		n, start := 0, cpuTime()
		for startedAt := time.Now(); time.Since(startedAt) < 100*time.Millisecond; n++ {
			f()
		}
		best = math.Min(best, float64((cpuTime()-start).Nanoseconds())/1e3/float64(n))
	}
	return best
}

// cpuTime returns the user and system CPU time of the process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
