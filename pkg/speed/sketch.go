// Package speed estimates how fast upstreams work from what routers see of their answers. It is pure: the caller passes
// the time.
//
// Each quantity is a ratio of an observed time to a general default. Ratios are kept in decaying histograms, whose
// quantiles one observation can hardly move and which can be summed over routers.
package speed

import (
	"math"
	"time"
)

const (
	// HalfLife is the time after which the weight of an observation has halved. An engine that becomes half as fast is
	// recognised after about 1.5 half-lives, one that recovers after half of one.
	HalfLife = 6 * time.Second
	// bucketsPerOctave is the resolution of a sketch: a bucket is 19% wide.
	bucketsPerOctave = 4
	// minOctave and octaves are the range of the ratios: from 1/8 to 32. Others count in the first or last bucket.
	minOctave, octaves = -3, 8
	buckets            = octaves * bucketsPerOctave
)

// Sketch is a histogram of the logarithms of ratios, in which observations lose weight with time. The zero value is
// empty.
type Sketch struct {
	counts [buckets]float32
	at     time.Time // time up to which the counts have decayed
}

// Add adds an observed ratio. Ratios that are not positive and finite are ignored.
func (s *Sketch) Add(now time.Time, ratio, weight float64) {
	if !(ratio > 0) || math.IsInf(ratio, 0) || !(weight > 0) {
		return
	}
	s.decay(now)
	i := int(math.Floor((math.Log2(ratio) - minOctave) * bucketsPerOctave))
	s.counts[min(max(i, 0), buckets-1)] += float32(min(weight, 1))
}

// decay reduces the counts to their weight at now.
func (s *Sketch) decay(now time.Time) {
	if !now.After(s.at) {
		return
	}
	if !s.at.IsZero() {
		f := decayed(1, now.Sub(s.at))
		for i := range s.counts {
			s.counts[i] *= float32(f)
		}
	}
	s.at = now
}

// Rate is the mean of an amount per second over the last seconds. The zero value is 0.
type Rate struct {
	value float64 // at the time at
	at    time.Time
}

// Add adds an amount.
func (r *Rate) Add(now time.Time, amount float64) {
	r.value, r.at = r.At(now)+amount*math.Ln2/HalfLife.Seconds(), now
}

// At returns the rate per second.
func (r *Rate) At(now time.Time) float64 { return decayed(r.value, max(0, now.Sub(r.at))) }

// decayed returns the weight after the given time.
func decayed(weight float64, after time.Duration) float64 {
	return weight * math.Exp2(-after.Seconds()/HalfLife.Seconds())
}

// weight returns the sum of the counts.
func (s *Sketch) weight() float64 {
	total := 0.0
	for _, n := range s.counts {
		total += float64(n)
	}
	return total
}

// add adds the counts of o, times factor.
func (s *Sketch) add(o *Sketch, factor float32) {
	for i, n := range o.counts {
		s.counts[i] = max(0, s.counts[i]+factor*n)
	}
}

// quantile returns the binary logarithm of the ratio below which the share q of the weight lies. The sketch must not be
// empty.
func (s *Sketch) quantile(q float64) float64 {
	left := q * s.weight()
	for i, n := range s.counts {
		if n := float64(n); n > 0 && left <= n {
			return minOctave + (float64(i)+left/n)/bucketsPerOctave
		} else {
			left -= n
		}
	}
	return minOctave + octaves
}

// estimate returns the quantile with the sketch's weight at now.
func (s *Sketch) estimate(now time.Time, q, maxWeight float64) Estimate {
	if s.at.IsZero() { // most sketches of a router are empty
		return Estimate{}
	}
	s.decay(now)
	w := s.weight()
	if w < minWeight {
		return Estimate{}
	}
	return Estimate{Log2: s.quantile(q), Weight: min(w, maxWeight), At: now}
}

// countUnit is the weight of one in an encoded count.
const countUnit = 1.0 / 8

// Counts is the form of a sketch in messages: the counts in units of countUnit from the bucket First on.
type Counts struct {
	First  int    `cbor:"1,keyasint,omitempty"`
	Counts []byte `cbor:"2,keyasint,omitempty"`
}

// Valid reports whether the counts lie within the buckets.
func (c Counts) Valid() bool { return c.First >= 0 && c.First+len(c.Counts) <= buckets }

// encode returns the counts at now, scaled so that their sum is at most maxRouterWeight.
func (s *Sketch) encode(now time.Time) Counts {
	s.decay(now)
	scale := 1.0
	if w := s.weight(); w > maxRouterWeight {
		scale = maxRouterWeight / w
	}
	var c Counts
	for i, n := range s.counts {
		units := byte(min(math.Round(float64(n)*scale/countUnit), math.MaxUint8))
		if units == 0 && len(c.Counts) == 0 {
			continue
		}
		if len(c.Counts) == 0 {
			c.First = i
		}
		c.Counts = append(c.Counts, units)
	}
	for len(c.Counts) > 0 && c.Counts[len(c.Counts)-1] == 0 {
		c.Counts = c.Counts[:len(c.Counts)-1]
	}
	if len(c.Counts) == 0 {
		return Counts{}
	}
	return c
}

// weight returns the sum of the encoded counts.
func (c Counts) weight() float64 {
	total := 0
	for _, n := range c.Counts {
		total += int(n)
	}
	return float64(total) * countUnit
}
