package policybench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const (
	// retryLoad is the load of the retry runs, retryRefusing the number of refusing upstreams: a third of them.
	retryLoad     = 0.8
	retryRefusing = 3
	// budgetShare and budgetFloor are the retry budget of the design page (section 4.5). The floor is per budgetWindow.
	budgetShare, budgetFloor, budgetWindow = 0.10, 3, 10 * time.Second
)

func runRetries(w io.Writer, o Options) []string {
	servingShare := 1 - retryRefusing/float64(len(fleetSpeeds)) // refusing upstreams have the mean speed
	broken := retryTable(w, "of the capacity of all upstreams", retryLoad, o)
	return append(broken, retryTable(w, "of the capacity of those that serve", retryLoad*servingShare, o)...)
}

func retryTable(w io.Writer, basis string, load float64, o Options) []string {
	fmt.Fprintf(w, "\nretries: %d of %d upstreams refuse at once, load %g %s, %d x %s\n", retryRefusing, len(fleetSpeeds), retryLoad, basis, o.Seeds, shortDuration(o.Queue))
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "retries\trequests\tin time %\tattempts\tattempts per request\twait p99 s\tbudget serves more\tbudget has fewer attempts\t")
	base := Fleet{Chooser: ChooseRouting, Retries: RetryBudget, Lag: 500 * time.Millisecond, Load: load, Refusing: retryRefusing}
	results := map[RetryRule]FleetResult{RetryBudget: sumFleet(base, o)}
	budgetResult := results[RetryBudget]
	retryRow(tw, string(RetryBudget), budgetResult, "", "")
	for _, rule := range []RetryRule{RetryUnlimited, RetryNone} {
		f := base
		f.Retries = rule
		r := sumFleet(f, o)
		results[rule] = r
		retryRow(tw, string(rule), r, yesNo(budgetResult.Share() > r.Share()), yesNo(budgetResult.Attempts < r.Attempts))
	}
	base.Chooser = ChooseRandom
	r := sumFleet(base, o)
	retryRow(tw, "budget, random choice", r, yesNo(budgetResult.Share() > r.Share()), yesNo(budgetResult.Attempts < r.Attempts))
	_ = tw.Flush()
	return retryBounds(basis, results, o)
}

func retryRow(w io.Writer, name string, r FleetResult, more, fewer string) {
	fmt.Fprintf(w, "%s\t%d\t%.2f\t%d\t%.3f\t%.2f\t%s\t%s\t\n", name, r.Requests, 100*r.Share(), r.Attempts, float64(r.Attempts)/float64(r.Requests), percentile(r.Waits, 0.99), more, fewer)
}

// retryBounds returns the broken bounds: the attempts with the budget stay within its size, at least as many requests
// are in time as without retries, and there are no more attempts than with unlimited retries.
func retryBounds(basis string, results map[RetryRule]FleetResult, o Options) []string {
	budgetResult := results[RetryBudget]
	var broken []string
	windows := float64(o.Seeds) * fleetRouters * (o.Queue.Seconds()/budgetWindow.Seconds() + 1)
	if limit := float64(budgetResult.Requests)*(1+budgetShare) + budgetFloor*windows; float64(budgetResult.Attempts) > limit {
		broken = append(broken, fmt.Sprintf("retries at %g %s: %d attempts, bound %.0f", retryLoad, basis, budgetResult.Attempts, limit))
	}
	if ratio := budgetResult.Share() / results[RetryNone].Share(); ratio < minShareRatio {
		broken = append(broken, fmt.Sprintf("retries at %g %s: %.3f of the requests in time without retries, bound %.3f", retryLoad, basis, ratio, minShareRatio))
	}
	if budgetResult.Attempts > results[RetryUnlimited].Attempts {
		broken = append(broken, fmt.Sprintf("retries at %g %s: %d attempts, without a limit %d", retryLoad, basis, budgetResult.Attempts, results[RetryUnlimited].Attempts))
	}
	return broken
}
