package speed

import (
	"math"
	"time"
)

// Observed is a router's observations of one instance of an upstream, with their weights at the time of sending. It
// replaces the router's previous message, so a lost or repeated one distorts nothing.
type Observed struct {
	ID            string   `cbor:"1,keyasint"`
	StartedUnixMS int64    `cbor:"2,keyasint,omitempty"`
	Counts        []Counts `cbor:"3,keyasint,omitempty"` // by Kind
	// TokensPerS is the rate of the prompt tokens that the router sends to the upstream to be processed.
	TokensPerS float32 `cbor:"4,keyasint,omitempty"`
}

// minTokensPerS is the rate below which a router without observations sends nothing: traffic between regions is billed.
const minTokensPerS = 20

// maxTokensPerS bounds the rate of prompt tokens in a message: that of an engine a hundred times as fast as usual.
const maxTokensPerS = 4e6

// validRate reports whether the rate is in range.
func validRate(r float32) bool { return r >= 0 && r <= maxTokensPerS }

// Valid reports whether the values are in range.
func (o *Observed) Valid() bool {
	if o.StartedUnixMS < 0 || len(o.Counts) > int(Pooled) || !validRate(o.TokensPerS) {
		return false
	}
	for _, c := range o.Counts {
		if !c.Valid() {
			return false
		}
	}
	return true
}

// PooledEstimate is an estimate in an agent's message.
type PooledEstimate struct {
	Log2   float32 `cbor:"1,keyasint,omitempty"`
	Weight float32 `cbor:"2,keyasint,omitempty"`
}

// Valid reports whether the values are in range.
func (e PooledEstimate) Valid() bool {
	return math.Abs(float64(e.Log2)) <= octaves && e.Weight >= 0 && e.Weight <= MaxWeight
}

// Summary is what an agent knows of its upstream's speed from the routers' last messages.
type Summary struct {
	Estimates []PooledEstimate `cbor:"1,keyasint,omitempty"` // by Kind
	// TokensPerS is the rate of the prompt tokens that the live routers send to the upstream to be processed.
	TokensPerS float32 `cbor:"2,keyasint,omitempty"`
}

// Valid reports whether the values are in range.
func (s *Summary) Valid() bool {
	if len(s.Estimates) > int(Pooled) || !validRate(s.TokensPerS) {
		return false
	}
	for _, e := range s.Estimates {
		if !e.Valid() {
			return false
		}
	}
	return true
}

// Observed returns the router's own observations for the agent beside the upstream; nil if there are none.
func (u *Speeds) Observed(now time.Time, id string, startedUnixMS int64) *Observed {
	o := &Observed{ID: id, StartedUnixMS: startedUnixMS, Counts: make([]Counts, Pooled), TokensPerS: min(float32(u.sent.At(now)), maxTokensPerS)}
	known := 0
	for kind := range Pooled {
		o.Counts[kind] = u.own[kind].encode(now)
		if len(o.Counts[kind].Counts) > 0 {
			known = int(kind) + 1
		}
	}
	if known == 0 && o.TokensPerS < minTokensPerS {
		return nil
	}
	o.Counts = o.Counts[:known]
	return o
}

// ApplySummary stores the summary of an agent's report; nil if the agent has none. Kinds that it does not have are
// unknown.
func (u *Speeds) ApplySummary(now time.Time, s *Summary) {
	u.pooled, u.pooledSent, u.pooledAt = [Pooled]Estimate{}, 0, now
	if s == nil {
		return
	}
	u.pooledSent = float64(s.TokensPerS)
	estimates := s.Estimates
	for kind, e := range estimates[:min(len(estimates), int(Pooled))] {
		u.pooled[kind] = Estimate{Log2: float64(e.Log2), Weight: float64(e.Weight), At: now}
	}
}

// Pool returns the summary of the last messages of the live routers, with bounded weight and share of each; nil if there
// are none.
func Pool(routers []*Observed) *Summary {
	if len(routers) == 0 {
		return nil
	}
	out, sent := make([]PooledEstimate, 0, Pooled), float32(0)
	for _, o := range routers {
		sent = min(sent+o.TokensPerS, maxTokensPerS)
	}
	known := 0
	for kind := range Pooled {
		e := pool(kind, routers)
		out = append(out, e)
		if e.Weight > 0 {
			known = int(kind) + 1
		}
	}
	return &Summary{Estimates: out[:known], TokensPerS: sent}
}

// minTrimmed is the number of routers from which the influence of one is bounded by the others, and maxTrimmed that above
// which no router has the share of a low quantile.
const minTrimmed, maxTrimmed = 3, 8

// pool returns the estimate of one kind. For quantities of which a low quantile is taken, it is the largest of those that
// leave out one router each: otherwise a single router with low figures would determine it.
func pool(kind Kind, routers []*Observed) PooledEstimate {
	total := 0.0
	weight := func(o *Observed) float64 {
		if int(kind) >= len(o.Counts) {
			return 0
		}
		return min(o.Counts[kind].weight(), maxRouterWeight)
	}
	reporting := 0
	for _, o := range routers {
		if w := weight(o); w > 0 {
			total += w
			reporting++
		}
	}
	least := float64(fewRoutersWeight)
	if reporting >= minTrimmed {
		least = 0
	}
	var sum Sketch
	var parts []Sketch
	for _, o := range routers {
		w := weight(o)
		if w == 0 {
			continue
		}
		c, part := o.Counts[kind], Sketch{}
		scale := min(w, max(maxRouterRatio*(total-w)/float64(max(1, reporting-1)), least)) / c.weight()
		for i, n := range c.Counts {
			part.counts[c.First+i] = float32(float64(n) * countUnit * scale)
		}
		sum.add(&part, 1)
		parts = append(parts, part)
	}
	w := sum.weight()
	if w < minWeight {
		return PooledEstimate{}
	}
	log2 := sum.quantile(quantiles[kind])
	if quantiles[kind] < 0.5 && len(parts) >= minTrimmed && len(parts) <= maxTrimmed {
		for i := range parts {
			others := sum
			others.add(&parts[i], -1)
			log2 = max(log2, others.quantile(quantiles[kind]))
		}
	}
	return PooledEstimate{Log2: float32(log2), Weight: float32(w)}
}
