package capacity

import (
	"fmt"
	"io"

	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/loadplan"
	"github.com/hibiscuscross/hibiscuscross/pkg/residency"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
	"github.com/hibiscuscross/hibiscuscross/pkg/vmlist"
)

// Assumptions about failures and peaks.
const (
	startSpread        = 30.0 // s in which the VMs of a region start
	startReads         = 6.0  // one listing for each of five prefixes and one watch
	grantsPerVM        = 1.0  // grants stamped or removed for each upstream
	weightBytes        = 14 << 30
	adapterConcurrency = 30.0
	adapterSeconds     = 0.010
)

// writeFailures writes the calculated load of failures and peaks, and the mechanism that handles each.
func (b Budget) writeFailures(w io.Writer) {
	fmt.Fprint(w, "## Bad days\n\nThese lines are worked out, not run.\n\n| day | load | carried by |\n| --- | --- | --- |\n")
	row := func(day, load, mechanism string) { fmt.Fprintf(w, "| %s | %s | %s |\n", day, load, mechanism) }

	starting := float64(processes) / regions
	agents := float64(upstreams) / regions
	listing := upstreams*entryBytes("upstreams/"+vm(0), upstreamValue(0)) + b.configEntry
	row("a region restarts", fmt.Sprintf("%.0f processes within %.0f s: %.0f reads/s (limit %d), %.0f writes/s (limit %d) for records and stamps; %s of listings for each process",
		starting, startSpread, starting*startReads/startSpread, budgetStoreReads, agents*(1+grantsPerVM)/startSpread, budgetStoreWrites, size(listing)),
		"standing grants keep the replicas; conditional writes retry; a process takes its configuration from the store or up to 3 peers. If all start within 1 s, reads are at "+
			fmt.Sprintf("%.0f/s, above the limit: the first listing needs a random delay of up to %.0f s, which the watch duty does not have yet", starting*startReads, 2*starting*startReads/budgetStoreReads))

	lost := float64(upstreams) / zones
	row("an availability zone is lost", fmt.Sprintf("%.0f upstreams; after %.0f s of absence about %.0f conditional writes that remove grants, and further attempts that conflict", lost, vmlist.MaxLag.Seconds(), lost*grantsPerVM),
		"removal of entries of VMs proved gone; the other zones' holders serve meanwhile, non-idempotent calls of the lost owners' key slots are refused for 30 s and more")

	row("250 VMs replaced in a day", fmt.Sprintf("%.4f writes/s; the VM list changes about %d times", 4*vmsReplaced/day, 2*vmsReplaced), "drain: release of grants before the VM ends; one record at the start")

	wakes := adapters * wakeFraction
	modelWakes := models * wakeFraction
	seconds := float64(weightBytes) / residency.DefaultSpeeds[engine.TierStore]
	row("a burst of wake-ups: an hour's 17% at once", fmt.Sprintf("%.0f adapters: %.1f s at %.0f at a time, no store call; %.0f models of 14 GiB: %.0f store writes, %.0f s from the weight store at %d at a time of %.0f s each (speed assumed by the load plan)",
		wakes, wakes*adapterSeconds/adapterConcurrency, adapterConcurrency, modelWakes, modelWakes, modelWakes/loadplan.MaxConcurrentLoads*seconds, loadplan.MaxConcurrentLoads, seconds),
		"earliest deadline first at the load coordinator; requests whose predicted wait is longer than their deadline are refused at once; a burst for one model becomes one load")

	row("an hour's outage of the object API", fmt.Sprintf("no grant moves and no configuration changes for an hour: %.0f model wake-ups need a held grant, %.1f configurations wait at their operators; at the end %.0f reads/s",
		modelWakes, changesPerDay/24.0, processes/store.WatchMinInterval.Seconds()),
		"standing grants allow loads without a store call; starting processes ask peers; calls are spaced by 4 s and a jitter, so that the end of the outage brings no burst")

	row("two regions cannot see each other", fmt.Sprintf("the side without the object API is in an outage with %.0f processes; limits cannot be lowered while a holder there does not release", starting),
		"both sides keep their grants, so that the sum stays within the limits; apply waits and leaves the stricter limit")
	fmt.Fprintln(w)
}
