// Package policybench compares the policies for idle models, loads, queues, routing, retries and keyed calls with their
// baselines in virtual time, on workloads of the deployments' sizes (design page, section 1.2). Except for the times of
// a residency step and of a keyed call, all results depend only on the seeds.
package policybench

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
)

// Deployment is the size of one deployment and the weights of its costs.
type Deployment struct {
	Name      string
	Upstreams int // model upstreams
	Models    int
	// LoadsPerSecond is the throughput of the weight store when all load permits are in use.
	LoadsPerSecond float64
	Weights        config.Weights
	// UpstreamBytes is the memory of one upstream.
	UpstreamBytes int64
}

// Deployments returns the two deployments of the design page. Their weights differ by a factor of 25: for the libraries
// (okonkwo-adeyemi), one second of waiting costs as much as 3 minutes of an idle accelerator, for the decal shops
// (blue-mahoe) as much as 7 seconds.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "okonkwo-adeyemi", Upstreams: 9, Models: 30, LoadsPerSecond: 1.5, Weights: config.Weights{ColdStart: 0.05, IdleAccelerator: 1}, UpstreamBytes: 160 << 30},
		{Name: "blue-mahoe", Upstreams: 9, Models: 19, LoadsPerSecond: 2, Weights: config.Weights{ColdStart: 0.002, IdleAccelerator: 1}, UpstreamBytes: 160 << 30},
	}
}

// simModel is one model of a workload.
type simModel struct {
	upstream     int
	bytes        int64
	accelerators int
	loadTime     time.Duration // duration of a cold start
	arrivals     []arrival
}

type arrival struct {
	at    time.Duration // since the start
	model int
	busy  time.Duration // run time of the request
}

const (
	day = 24 * time.Hour
	// Speeds of the checkpoint tiers, bytes per second, as in package residency.
	memorySpeed, diskSpeed, remoteSpeed = 8e9, 2e9, 5e8
	// sessionGap is the mean time between two requests of a session, sessionMean the mean number of its requests.
	sessionGap  = 20 * time.Second
	sessionMean = 6
	// maxRequest is the maximum run time of a request.
	maxRequest = 10 * time.Second
)

// workload draws the models and their arrivals, sorted, over the given time. Sessions are a Poisson process whose rate
// depends on the time of day, and each session is a burst of requests. The mean time between two sessions of a model is
// log-uniform from 10 minutes to 12 hours, so that most models are idle.
func workload(d Deployment, seed uint64, length time.Duration) ([]simModel, []arrival) {
	rng := rand.New(rand.NewPCG(seed, 7))
	models := make([]simModel, d.Models)
	var all []arrival
	for i := range models {
		m := &models[i]
		m.upstream = rng.IntN(d.Upstreams)
		m.accelerators = 1 << rng.IntN(4)
		m.bytes = int64(m.accelerators) * (6 + rng.Int64N(7)) << 30
		speed := []float64{memorySpeed, diskSpeed, remoteSpeed}[rng.IntN(3)]
		m.loadTime = time.Duration(float64(m.bytes) / speed * float64(time.Second))
		mean := 10 * time.Minute.Seconds() * math.Pow(72, rng.Float64())
		m.arrivals = sessions(rng, i, mean, length)
		all = append(all, m.arrivals...)
	}
	slices.SortFunc(all, func(a, b arrival) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.model, b.model))
	})
	return models, all
}

// sessions draws the arrivals of one model by thinning a Poisson process with the daily maximum of the rate.
func sessions(rng *rand.Rand, model int, mean float64, length time.Duration) []arrival {
	var out []arrival
	peak := daily(14 * time.Hour)
	for t := 0.0; ; {
		t += rng.ExpFloat64() * mean / peak
		at := time.Duration(t * float64(time.Second))
		if at >= length {
			return out
		}
		if rng.Float64()*peak > daily(at) {
			continue
		}
		for more := true; more; more = rng.Float64() < 1-1.0/sessionMean {
			out = append(out, arrival{at: at, model: model, busy: time.Second + time.Duration(rng.Int64N(int64(maxRequest-time.Second)))})
			at += time.Duration(rng.ExpFloat64() * float64(sessionGap))
		}
	}
}

// daily returns the rate at a time of day relative to its mean. The rate is highest at 14:00 and lowest at 02:00.
func daily(at time.Duration) float64 {
	return 1 + 0.9*math.Sin(2*math.Pi*(float64(at%day)/float64(day)-8.0/24))
}

// percentile returns the percentile p, from 0 to 1, by the nearest-rank method. It sorts its argument.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[max(0, int(math.Ceil(p*float64(len(values))))-1)]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / max(1, float64(len(values)))
}

// shortDuration formats a duration in hours or minutes.
func shortDuration(d time.Duration) string {
	if d >= time.Hour {
		return fmt.Sprintf("%gh", d.Hours())
	}
	return fmt.Sprintf("%gm", d.Minutes())
}
