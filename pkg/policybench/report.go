package policybench

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/idle"
)

// Options are the sizes of a run.
type Options struct {
	Seeds int           // workloads per deployment; each policy runs on the same ones
	Idle  time.Duration // virtual length of an idle run
	Loads time.Duration // virtual length of a load run
	Queue time.Duration // virtual length of each run of requests: queues, routing and retries
}

// Bounds, as ratios to the baselines. They state the purpose of the policies.
const (
	// maxCostRatio is the maximum ratio of the cost of the cost policy to that of each baseline, with the weights of the
	// deployment.
	maxCostRatio = 1.0
	// minShareRatio is the minimum ratio of the share of requests in time with a policy to that with each baseline.
	minShareRatio = 1.0
)

// keepAlives returns the fixed keep-alive times of the baselines.
func keepAlives() []time.Duration {
	return []time.Duration{time.Minute, 5 * time.Minute, idle.DefaultKeepAlive, 30 * time.Minute, time.Hour, 4 * time.Hour}
}

// coldStartWeights returns the cold start weights, per second, at which the cost policy is measured besides the weights
// of the deployment. An idle accelerator hour has weight 1.
func coldStartWeights() []float64 { return []float64{0.0005, 0.002, 0.01, 0.05, 0.2} }

// Run runs all simulations and measurements, prints the tables and returns the broken bounds.
func Run(w io.Writer, o Options) []string {
	var broken []string
	for _, d := range Deployments() {
		broken = append(broken, runIdle(w, d, o)...)
	}
	for _, d := range Deployments() {
		broken = append(broken, runLoads(w, d, o)...)
	}
	broken = append(broken, runSteps(w)...)
	broken = append(broken, runQueues(w, o)...)
	broken = append(broken, runRouting(w, o)...)
	broken = append(broken, runOnce(w, o)...)
	broken = append(broken, runRetries(w, o)...)
	for _, b := range broken {
		fmt.Fprintln(w, "BROKEN:", b)
	}
	return broken
}

func sumIdle(d Deployment, p idle.Policy, weights config.Weights, o Options) IdleResult {
	var r IdleResult
	for seed := range o.Seeds {
		r.add(SimulateIdle(d, p, weights, uint64(seed+1), o.Idle))
	}
	return r
}

func runIdle(w io.Writer, d Deployment, o Options) []string {
	fmt.Fprintf(w, "\nidle policies, %s: %d models on %d upstreams, %d x %s, weights %g/s and %g/accelerator hour\n", d.Name, d.Models, d.Upstreams, o.Seeds, shortDuration(o.Idle), d.Weights.ColdStart, d.Weights.IdleAccelerator)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "policy\trequests\tno memory\tcold starts\twait p95 s\twait p99 s\tidle accelerator h\tcost\tratio of the cost policy\t")
	costResult := sumIdle(d, &idle.Cost{}, d.Weights, o)
	row := func(name string, r IdleResult, ratio string) {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.0f\t%.0f\t%s\t\n", name, len(r.Waits), r.Misses, r.ColdStarts, percentile(r.Waits, 0.95), percentile(r.Waits, 0.99), r.IdleHours, r.Cost(d.Weights), ratio)
	}
	row("cost, own weights", costResult, "")
	var broken []string
	baseline := func(name string, p idle.Policy) {
		r := sumIdle(d, p, d.Weights, o)
		ratio := costResult.Cost(d.Weights) / r.Cost(d.Weights)
		row(name, r, fmt.Sprintf("%.3f", ratio))
		if ratio > maxCostRatio {
			broken = append(broken, fmt.Sprintf("%s: the cost policy costs %.3f of %s, bound %.3f", d.Name, ratio, name, maxCostRatio))
		}
	}
	for _, k := range keepAlives() {
		baseline("fixed "+shortDuration(k), &idle.Fixed{KeepAlive: k})
	}
	baseline("never", &idle.Never{})
	for _, c := range coldStartWeights() {
		row(fmt.Sprintf("cost, weight %g", c), sumIdle(d, &idle.Cost{}, config.Weights{ColdStart: c, IdleAccelerator: 1}, o), "")
	}
	_ = tw.Flush()
	return broken
}

func runLoads(w io.Writer, d Deployment, o Options) []string {
	fmt.Fprintf(w, "\nload order, %s: %g loads/s at 4 places, %d x %s\n", d.Name, d.LoadsPerSecond, o.Seeds, shortDuration(o.Loads))
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "order\trequests\tin time %\tmean wait s\tp99 wait s\t")
	results := map[LoadOrder]LoadResult{}
	for _, order := range []LoadOrder{OrderDeadline, OrderFirstCome, OrderAllAtOnce} {
		var r LoadResult
		for seed := range o.Seeds {
			r.add(SimulateLoads(d, order, uint64(seed+1), o.Loads))
		}
		results[order] = r
		fmt.Fprintf(tw, "%s\t%d\t%.2f\t%.2f\t%.2f\t\n", order, len(r.Waits), 100*r.Share(), mean(r.Waits), percentile(r.Waits, 0.99))
	}
	_ = tw.Flush()
	var broken []string
	for _, order := range []LoadOrder{OrderFirstCome, OrderAllAtOnce} {
		if ratio := results[OrderDeadline].Share() / results[order].Share(); ratio < minShareRatio {
			broken = append(broken, fmt.Sprintf("%s: by deadline, %.3f of the requests in time with %s, bound %.3f", d.Name, ratio, order, minShareRatio))
		}
	}
	return broken
}

// sortedByArrival returns the indices of the cold starts in the order of arrival.
func sortedByArrival(coldStarts []coldStart) []int {
	ids := make([]int, len(coldStarts))
	for i := range ids {
		ids[i] = i
	}
	slices.SortStableFunc(ids, func(a, b int) int { return cmp.Compare(coldStarts[a].at, coldStarts[b].at) })
	return ids
}
