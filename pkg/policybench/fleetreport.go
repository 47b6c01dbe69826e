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
	// maxWaitRatio bounds p95 and p99 of the wait with routing, without the place order that the baselines lack too,
	// against each baseline. staleWaitRatio holds against least outstanding when reports lag by 5 s, ten times their
	// interval: that rule uses no reports, and old ones may cost a quarter.
	maxWaitRatio, staleWaitRatio = 1.0, 1.25
	staleLag                     = 5 * time.Second
	// maxHitRatio bounds the hit share without affinity against that with it.
	maxHitRatio = 1.0
	// maxBytesRatio bounds the cross-region bytes with place order against those without: at least a half is saved.
	maxBytesRatio = 0.5
)

// fleetCase is one row of the routing table.
type fleetCase struct {
	name string
	Fleet
	result FleetResult
	waits  [3]float64 // p50, p95 and p99, s
}

// Indices of the rows that routingCases returns.
const (
	rowRouting = iota
	rowNoAffinity
	rowNoPlaces
	rowRandom
	rowLeast
)

func routingCases(lag time.Duration, o Options) []fleetCase {
	base := Fleet{Chooser: ChooseRouting, Retries: RetryNone, Lag: lag, Load: routingLoad}
	cases := make([]fleetCase, rowLeast+1)
	for i := range cases {
		cases[i].Fleet = base
	}
	cases[rowRouting].name = "routing"
	cases[rowNoAffinity].name, cases[rowNoAffinity].NoAffinity = "routing, no affinity", true
	cases[rowNoPlaces].name, cases[rowNoPlaces].NoLocality = "routing, no place order", true
	cases[rowRandom].name, cases[rowRandom].Chooser = "random", ChooseRandom
	cases[rowLeast].name, cases[rowLeast].Chooser = "least outstanding", ChooseLeastOutstanding
	for i := range cases {
		c := &cases[i]
		c.result = sumFleet(c.Fleet, o)
		c.waits = [3]float64{percentile(c.result.Waits, 0.5), percentile(c.result.Waits, 0.95), percentile(c.result.Waits, 0.99)}
	}
	return cases
}

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
		cases := routingCases(lag, o)
		printRouting(w, lag, cases, o)
		broken = append(broken, routingBounds(lag, cases)...)
	}
	return broken
}

func printRouting(w io.Writer, lag time.Duration, cases []fleetCase, o Options) {
	fmt.Fprintf(w, "\nrouting: %d routers, %d upstreams of speeds 0.5 to 1.5 in %d regions, load %g, reports lag by %v, %d x %s; a refused request waits %v\n",
		fleetRouters, len(fleetSpeeds), fleetRegions, routingLoad, lag, o.Seeds, short(o.Queue), fleetPatience)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "choice\trequests\tin time %\twait p50 s\tp95 s\tp99 s\tcache hits %\tcross-region MB\trouting better (p50, p95, p99)\tno place order better\t")
	for i, c := range cases {
		fmt.Fprintf(tw, "%s\t%d\t%.2f\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t", c.name, c.result.Requests, 100*c.result.Share(), c.waits[0], c.waits[1], c.waits[2], 100*c.result.HitShare(), float64(c.result.CrossRegionBytes)/1e6)
		own, flat := "", ""
		if i != rowRouting {
			own = betterWaits(cases[rowRouting].waits, c.waits)
		}
		if i > rowNoPlaces {
			flat = betterWaits(cases[rowNoPlaces].waits, c.waits)
		}
		fmt.Fprintf(tw, "%s\t%s\t\n", own, flat)
	}
	_ = tw.Flush()
}

func betterWaits(own, base [3]float64) string {
	return yes(own[0] < base[0]) + " " + yes(own[1] < base[1]) + " " + yes(own[2] < base[2])
}

func routingBounds(lag time.Duration, cases []fleetCase) []string {
	var broken []string
	check := func(what string, ratio, bound float64) {
		if ratio > bound {
			broken = append(broken, fmt.Sprintf("routing, lag %v: %s, ratio %.3f, bound %.3f", lag, what, ratio, bound))
		}
	}
	own := cases[rowNoPlaces].waits
	for _, base := range []int{rowRandom, rowLeast} {
		bound := maxWaitRatio
		if base == rowLeast && lag >= staleLag {
			bound = staleWaitRatio
		}
		check("p95 wait against "+cases[base].name, own[1]/cases[base].waits[1], bound)
		check("p99 wait against "+cases[base].name, own[2]/cases[base].waits[2], bound)
	}
	check("cache hits without affinity against those with it", cases[rowNoAffinity].result.HitShare()/cases[rowRouting].result.HitShare(), maxHitRatio)
	check("cross-region bytes with place order", float64(cases[rowRouting].result.CrossRegionBytes)/float64(cases[rowNoPlaces].result.CrossRegionBytes), maxBytesRatio)
	return broken
}
