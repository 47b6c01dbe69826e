package policybench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// retryLoad is the load of the retry runs, retryRefusing the third of the upstreams that refuses.
const (
	retryLoad     = 0.8
	retryRefusing = 3
	// budgetShare and budgetFloor are the stated budget (design page, section 4.5); the floor holds for a window.
	budgetShare, budgetFloor, budgetWindow = 0.10, 3, 10 * time.Second
)

func runRetries(w io.Writer, o Options) []string {
	left := 1 - retryRefusing/float64(len(fleetSpeeds)) // those that refuse have the mean speed
	broken := retryTable(w, "of the capacity of all upstreams", retryLoad, o)
	return append(broken, retryTable(w, "of the capacity of those that serve", retryLoad*left, o)...)
}

func retryTable(w io.Writer, of string, load float64, o Options) []string {
	fmt.Fprintf(w, "\nretries: %d of %d upstreams refuse at once, load %g %s, %d x %s\n", retryRefusing, len(fleetSpeeds), retryLoad, of, o.Seeds, short(o.Queue))
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "retries\trequests\tin time %\tattempts\tattempts per request\twait p99 s\tbudget serves more\tbudget has fewer attempts\t")
	base := Fleet{Chooser: ChooseRouting, Retries: RetryBudget, Lag: 500 * time.Millisecond, Load: load, Refusing: retryRefusing}
	results := map[RetryRule]FleetResult{RetryBudget: sumFleet(base, o)}
	own := results[RetryBudget]
	retryRow(tw, string(RetryBudget), own, "", "")
	for _, rule := range []RetryRule{RetryUnlimited, RetryNone} {
		f := base
		f.Retries = rule
		r := sumFleet(f, o)
		results[rule] = r
		retryRow(tw, string(rule), r, yes(own.Share() > r.Share()), yes(own.Attempts < r.Attempts))
	}
	base.Chooser = ChooseRandom
	r := sumFleet(base, o)
	retryRow(tw, "budget, random choice", r, yes(own.Share() > r.Share()), yes(own.Attempts < r.Attempts))
	_ = tw.Flush()
	return retryBounds(of, results, o)
}

func retryRow(w io.Writer, name string, r FleetResult, more, fewer string) {
	fmt.Fprintf(w, "%s\t%d\t%.2f\t%d\t%.3f\t%.2f\t%s\t%s\t\n", name, r.Requests, 100*r.Share(), r.Attempts, float64(r.Attempts)/float64(r.Requests), percentile(r.Waits, 0.99), more, fewer)
}

// retryBounds checks that the budget keeps to its stated size, serves no less than no retries, and attempts no more than
// unlimited retries.
func retryBounds(of string, results map[RetryRule]FleetResult, o Options) []string {
	own := results[RetryBudget]
	var broken []string
	windows := float64(o.Seeds) * fleetRouters * (o.Queue.Seconds()/budgetWindow.Seconds() + 1)
	if limit := float64(own.Requests)*(1+budgetShare) + budgetFloor*windows; float64(own.Attempts) > limit {
		broken = append(broken, fmt.Sprintf("retries at %g %s: %d attempts, bound %.0f", retryLoad, of, own.Attempts, limit))
	}
	if ratio := own.Share() / results[RetryNone].Share(); ratio < minShareRatio {
		broken = append(broken, fmt.Sprintf("retries at %g %s: %.3f of the requests in time without retries, bound %.3f", retryLoad, of, ratio, minShareRatio))
	}
	if own.Attempts > results[RetryUnlimited].Attempts {
		broken = append(broken, fmt.Sprintf("retries at %g %s: %d attempts, without a limit %d", retryLoad, of, own.Attempts, results[RetryUnlimited].Attempts))
	}
	return broken
}
