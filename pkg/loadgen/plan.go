// Package loadgen sends a bounded, seeded load to the callers' interface, checks that each answer is complete, and
// measures latencies and outcomes as callers see them. It is used by hibiscuscross-load and not linked into the daemon.
package loadgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// Bounds of a run.
const (
	MaxCount    = 1_000_000
	MaxDuration = time.Hour
)

// Options are the parameters of a load.
type Options struct {
	URLs  []string // of routers, used round robin
	Key   string   // API key of the caller
	Seed  uint64
	Count int     // number of requests, at most MaxCount
	Rate  float64 // mean arrivals per second; the times between arrivals are exponential
	// MaxTime bounds the time during which requests are started, at most MaxDuration.
	MaxTime time.Duration
	// Models are model and adapter names, the most popular first. Popularity is proportional to rank^-Skew; 0 is uniform.
	Models []string
	Skew   float64
	// BurstShare is the share of arrivals that are bursts of BurstSize requests for one model at the same time.
	BurstShare float64
	BurstSize  int
	// PlainShare is the share of requests to the plain service, NonIdempotentShare the non-idempotent share of these.
	PlainShare         float64
	NonIdempotentShare float64
	Service            string
	RunPath            string // of non-idempotent calls, for example "/orders"
	LookupPath         string // of lookups
	Tokens             int    // max_tokens of each model request
	// WholeShare is the share of model requests that are not streamed.
	WholeShare  float64
	Deadline    time.Duration
	MaxInFlight int
	// ColdAfter is the time without a byte of any answer of a model after which a request for it counts as a cold start.
	ColdAfter time.Duration
	// CheckText requires that the text of an answer equals the tokens of the engine stand-in.
	CheckText bool
}

// Validate returns an error that names an option out of its range, or nil.
func (o Options) Validate() error {
	switch {
	case len(o.URLs) == 0:
		return fault.New(fault.StepSettings, "", "option urls is empty")
	case o.Count < 1 || o.Count > MaxCount:
		return fault.Newf(fault.StepSettings, "", "option count is outside 1 to %d", MaxCount)
	case !(o.Rate > 0):
		return fault.New(fault.StepSettings, "", "option rate is not positive")
	case o.MaxTime <= 0 || o.MaxTime > MaxDuration:
		return fault.Newf(fault.StepSettings, "", "option max-time is outside 0 to %s", MaxDuration)
	case len(o.Models) == 0 && o.PlainShare < 1:
		return fault.New(fault.StepSettings, "", "option models is empty")
	case o.Service == "" && o.PlainShare > 0:
		return fault.New(fault.StepSettings, "", "option service is empty")
	case o.MaxInFlight < 1:
		return fault.New(fault.StepSettings, "", "option max-in-flight is not positive")
	case o.Deadline <= 0:
		return fault.New(fault.StepSettings, "", "option deadline is not positive")
	case o.Tokens < 1:
		return fault.New(fault.StepSettings, "", "option tokens is not positive")
	}
	for name, share := range map[string]float64{"burst-share": o.BurstShare, "plain-share": o.PlainShare, "non-idempotent-share": o.NonIdempotentShare, "whole-share": o.WholeShare} {
		if !(share >= 0 && share <= 1) {
			return fault.Newf(fault.StepSettings, "", "option %s is outside 0 to 1", name)
		}
	}
	return nil
}

// Kind is the kind of a request.
type Kind string

// Kinds of requests. Runs and lookups go to the plain service.
const (
	KindModel  Kind = "model"
	KindRun    Kind = "run" // non-idempotent
	KindLookup Kind = "lookup"
)

// Request is one planned request.
type Request struct {
	Index  int
	At     time.Duration // after the start of the run
	URL    string        // of the router
	Kind   Kind
	Model  string
	Prompt string
	Stream bool
}

// Plan returns the requests of a load in the order of their times. Equal options give equal plans.
func Plan(o Options) []Request {
	r := rand.New(rand.NewPCG(o.Seed, 0))
	weights := popularity(len(o.Models), o.Skew)
	var out []Request
	at := time.Duration(0)
	for len(out) < o.Count {
		at += time.Duration(r.ExpFloat64() / o.Rate * float64(time.Second))
		if at > o.MaxTime {
			break
		}
		if r.Float64() < o.PlainShare {
			kind := KindLookup
			if r.Float64() < o.NonIdempotentShare {
				kind = KindRun
			}
			out = append(out, o.request(len(out), at, kind))
			continue
		}
		size := 1
		if r.Float64() < o.BurstShare {
			size = max(1, o.BurstSize)
		}
		model := o.Models[pick(weights, r.Float64())]
		for i := 0; i < size && len(out) < o.Count; i++ {
			q := o.request(len(out), at, KindModel)
			q.Model = model
			q.Stream = r.Float64() >= o.WholeShare
			out = append(out, q)
		}
	}
	return out
}

func (o Options) request(index int, at time.Duration, kind Kind) Request {
	return Request{Index: index, At: at, Kind: kind, URL: o.URLs[index%len(o.URLs)], Prompt: fmt.Sprintf("load %d request %d", o.Seed, index)}
}

// popularity returns the cumulative shares of n ranks, where the share of a rank is proportional to rank^-skew.
func popularity(n int, skew float64) []float64 {
	out := make([]float64, n)
	sum := 0.0
	for i := range out {
		sum += math.Pow(float64(i+1), -skew)
		out[i] = sum
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// pick returns the index of the first cumulative share above x, or the last index if there is none.
func pick(cumulative []float64, x float64) int {
	for i, c := range cumulative {
		if x < c {
			return i
		}
	}
	return len(cumulative) - 1
}
