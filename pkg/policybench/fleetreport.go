package policybench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const (
	// routingLoad is the load of the routing runs.
	routingLoad = 0.7
	// maxWaitRatio is the maximum ratio of p95 and p99 of the wait with routing to those with each baseline. Routing runs
	// without its preference for near upstreams, which the baselines lack too. staleWaitRatio applies instead against
	// least outstanding when reports lag by 5 s, ten times their interval: that baseline uses no reports, and stale reports
	// may make the waits with routing a quarter longer.
	maxWaitRatio, staleWaitRatio = 1.0, 1.25
	staleLag                     = 5 * time.Second
	// maxHitRatio is the maximum ratio of the cache hit share without affinity to that with it.
	maxHitRatio = 1.0
	// maxBytesRatio is the maximum ratio of the cross-region bytes with the preference for near upstreams to those without
	// it: the preference saves at least half of them.
	maxBytesRatio = 0.5
)

// routingRow is one row of the routing table.
type routingRow struct {
	name string
	Fleet
	result FleetResult
	waits  [3]float64 // p50, p95 and p99, s
}

// Indices of the rows that routingRows returns.
const (
	rowRouting = iota
	rowNoAffinity
	rowNoLocality
	rowRandom
	rowLeastOutstanding
)

// routingRows runs the cases of the routing table at one lag of the load reports.
func routingRows(lag time.Duration, o Options) []routingRow {
	base := Fleet{Chooser: ChooseRouting, Retries: RetryNone, Lag: lag, Load: routingLoad}
	cases := make([]routingRow, rowLeastOutstanding+1)
	for i := range cases {
		cases[i].Fleet = base
	}
	cases[rowRouting].name = "routing"
	cases[rowNoAffinity].name, cases[rowNoAffinity].NoAffinity = "routing, no affinity", true
	cases[rowNoLocality].name, cases[rowNoLocality].NoLocality = "routing, no place order", true
	cases[rowRandom].name, cases[rowRandom].Chooser = "random", ChooseRandom
	cases[rowLeastOutstanding].name, cases[rowLeastOutstanding].Chooser = "least outstanding", ChooseLeastOutstanding
	for i := range cases {
		c := &cases[i]
		c.result = sumFleet(c.Fleet, o)
		c.waits = [3]float64{percentile(c.result.Waits, 0.5), percentile(c.result.Waits, 0.95), percentile(c.result.Waits, 0.99)}
	}
	return cases
}

// sumFleet returns the sum of the results of all seeds.
func sumFleet(f Fleet, o Options) FleetResult {
	var r FleetResult
	for seed := range o.Seeds {
		r.add(SimulateFleet(f, uint64(seed+1), o.Queue))
	}
	return r
}

func runRouting(w io.Writer, o Options) []string {
	var broken []string
	for _, lag := range []time.Duration{500 * time.Millisecond, staleLag} {
		cases := routingRows(lag, o)
		printRouting(w, lag, cases, o)
		broken = append(broken, routingBounds(lag, cases)...)
	}
	return broken
}

func printRouting(w io.Writer, lag time.Duration, cases []routingRow, o Options) {
	fmt.Fprintf(w, "\nrouting: %d routers, %d upstreams of speeds 0.5 to 1.5 in %d regions, load %g, reports lag by %v, %d x %s; a refused request waits %v\n",
		fleetRouters, len(fleetSpeeds), fleetRegions, routingLoad, lag, o.Seeds, shortDuration(o.Queue), fleetTimeout)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "choice\trequests\tin time %\twait p50 s\tp95 s\tp99 s\tcache hits %\tcross-region MB\trouting better (p50, p95, p99)\tno place order better\t")
	for i, c := range cases {
		fmt.Fprintf(tw, "%s\t%d\t%.2f\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t", c.name, c.result.Requests, 100*c.result.Share(), c.waits[0], c.waits[1], c.waits[2], 100*c.result.HitShare(), float64(c.result.CrossRegionBytes)/1e6)
		routingBetter, noLocalityBetter := "", ""
		if i != rowRouting {
			routingBetter = betterWaits(cases[rowRouting].waits, c.waits)
		}
		if i > rowNoLocality {
			noLocalityBetter = betterWaits(cases[rowNoLocality].waits, c.waits)
		}
		fmt.Fprintf(tw, "%s\t%s\t\n", routingBetter, noLocalityBetter)
	}
	_ = tw.Flush()
}

// betterWaits returns the table text that states for p50, p95 and p99 whether waits are shorter than base.
func betterWaits(waits, base [3]float64) string {
	return yesNo(waits[0] < base[0]) + " " + yesNo(waits[1] < base[1]) + " " + yesNo(waits[2] < base[2])
}

// routingBounds returns the bounds that the rows break.
func routingBounds(lag time.Duration, cases []routingRow) []string {
	var broken []string
	check := func(what string, ratio, bound float64) {
		if ratio > bound {
			broken = append(broken, fmt.Sprintf("routing, lag %v: %s, ratio %.3f, bound %.3f", lag, what, ratio, bound))
		}
	}
	routingWaits := cases[rowNoLocality].waits
	for _, base := range []int{rowRandom, rowLeastOutstanding} {
		bound := maxWaitRatio
		if base == rowLeastOutstanding && lag >= staleLag {
			bound = staleWaitRatio
		}
		check("p95 wait against "+cases[base].name, routingWaits[1]/cases[base].waits[1], bound)
		check("p99 wait against "+cases[base].name, routingWaits[2]/cases[base].waits[2], bound)
	}
	check("cache hits without affinity against those with it", cases[rowNoAffinity].result.HitShare()/cases[rowRouting].result.HitShare(), maxHitRatio)
	check("cross-region bytes with place order", float64(cases[rowRouting].result.CrossRegionBytes)/float64(cases[rowNoLocality].result.CrossRegionBytes), maxBytesRatio)
	return broken
}
