package policybench

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/once"
)

const (
	// outageRate is the rate of keyed calls during faults. It is below the write budget, so that the baselines fail only
	// because of the fault.
	outageRate = 200
	// keyedLength is the virtual length of a run without a fault, outageLength that of a run with a fault.
	keyedLength, outageLength = 10 * time.Second, faultDelay + 60*time.Second
	// timedCalls is the number of keyed calls that are timed.
	timedCalls = 200000
)

// keyedCases are the offered loads, calls per second, and the numbers of agents. The first two offer the peak load of
// the design scale, all of it keyed calls, to the agents of one deployment and to as many agents as there are key
// slots. The third exceeds the 76,800 claims per second for which the write budget suffices in groups.
var keyedCases = []struct {
	rate   float64
	agents int
}{{14000, 3}, {14000, once.Slots}, {100000, 3}}

// keyedClaims returns the policy and its baselines.
func keyedClaims() []ClaimMode { return []ClaimMode{ClaimOwner, ClaimWrite, ClaimGrouped} }

func sumKeyed(k Keyed, length time.Duration, o Options) KeyedResult {
	var r KeyedResult
	for seed := range o.Seeds {
		r.add(SimulateKeyed(k, uint64(seed+1), length))
	}
	return r
}

func runOnce(w io.Writer, o Options) []string {
	broken := runOnceCost(w)
	broken = append(broken, runOnceRate(w, o)...)
	return append(broken, runOnceFaults(w, o)...)
}

// runOnceRate prints the decisions and store calls at each offered load.
func runOnceRate(w io.Writer, o Options) []string {
	fmt.Fprintf(w, "\nkeyed calls: %d store writes/s, decisions within %v, %d x %v\n", storeWritesPerSecond, decisionTimeout, o.Seeds, keyedLength)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "offered/s\tagents\tclaims\tcalls\tdecided/s\tdecided in time %\tmean delay ms\tp99 delay ms\tstore calls at start\tstore calls for these calls\tonce decides more\tonce is sooner\t")
	var broken []string
	for _, c := range keyedCases {
		broken = append(broken, onceRateRows(tw, c.rate, c.agents, o)...)
	}
	_ = tw.Flush()
	return broken
}

// onceRateRows prints the rows of package once and its baselines at one load.
func onceRateRows(w io.Writer, rate float64, agents int, o Options) []string {
	var broken []string
	var onceResult KeyedResult
	for _, claims := range keyedClaims() {
		r := sumKeyed(Keyed{Claims: claims, Agents: agents, Rate: rate}, keyedLength, o)
		more, sooner := "", ""
		if claims == ClaimOwner {
			onceResult = r
			if r.SteadyCalls > 0 {
				broken = append(broken, fmt.Sprintf("once, %d agents: %d store calls in steady state, bound 0", agents, r.SteadyCalls))
			}
		} else {
			more, sooner = yesNo(onceResult.Served > r.Served), yesNo(mean(onceResult.Delays) < mean(r.Delays))
			if ratio := float64(onceResult.Served) / float64(r.Served); ratio < minShareRatio {
				broken = append(broken, fmt.Sprintf("once, %d agents: %.3f of the decisions with %s, bound %.3f", agents, ratio, claims, minShareRatio))
			}
		}
		fmt.Fprintf(w, "%g\t%d\t%s\t%d\t%.0f\t%.2f\t%.1f\t%.1f\t%d\t%d\t%s\t%s\t\n", rate, agents, claims, r.Calls, float64(r.ServedInRun)/(keyedLength.Seconds()*float64(o.Seeds)),
			100*float64(r.Served)/float64(r.Calls), mean(r.Delays), percentile(r.Delays, 0.99), r.StartCalls, r.SteadyCalls, more, sooner)
	}
	return broken
}

// runOnceFaults prints the share of keyed calls that are decided during faults.
func runOnceFaults(w io.Writer, o Options) []string {
	fmt.Fprintf(w, "\nkeyed calls during faults: %d/s offered, 3 agents, %v after the fault began, %d runs; share of calls decided within %v\n", outageRate, outageLength-faultDelay, o.Seeds, decisionTimeout)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "fault\tclaims\tcalls\tserved %\tonce serves more\t")
	var broken []string
	for _, f := range []struct {
		name string
		Keyed
	}{{"store down", Keyed{Outage: true}}, {"agent lost, store up", Keyed{LoseAgent: true}}, {"agent lost, store down", Keyed{Outage: true, LoseAgent: true}}} {
		onceShare := 0.0
		for _, claims := range keyedClaims() {
			k := f.Keyed
			k.Claims, k.Agents, k.Rate = claims, 3, outageRate
			r := sumKeyed(k, outageLength, o)
			share, more := float64(r.FaultServed)/float64(r.FaultCalls), ""
			if claims == ClaimOwner {
				onceShare = share
				if f.Outage && !f.LoseAgent && share < 1 {
					broken = append(broken, fmt.Sprintf("once: %.4f of the calls served while the store is down, bound 1", share))
				}
			} else {
				more = yesNo(onceShare > share)
			}
			fmt.Fprintf(tw, "%s\t%s\t%d\t%.2f\t%s\t\n", f.name, claims, r.FaultCalls, 100*share, more)
		}
	}
	_ = tw.Flush()
	return broken
}

// ownerState returns the state of a single agent that owns all key slots.
func ownerState(start time.Time) *once.State {
	s := once.New("vm", start, once.DefaultLimits())
	s.Step(start, once.Members{Live: []string{"vm"}})
	s.Step(start, once.Services{Names: []string{keyedService}})
	for _, a := range s.Step(start, once.OwnersRead{Service: keyedService}) {
		if wr, ok := a.(once.WriteOwners); ok {
			s.Step(start, once.OwnersWritten{Service: keyedService, Expect: wr.Expect, Version: 1})
		}
	}
	return s
}

// runOnceCost measures the time of Admit and Finish on one core, with a table that is full for most of the calls. Like
// the time of a residency step, this time depends on the machine.
func runOnceCost(w io.Writer) []string {
	start := time.Unix(1000, 0)
	s := ownerState(start)
	now := start.Add(time.Minute)
	calls := make([]once.Call, timedCalls)
	for i := range calls {
		calls[i] = once.Call{Service: keyedService, Caller: "shop", Key: strconv.Itoa(i), Issued: now.Add(time.Duration(i) * time.Millisecond)}
	}
	answer := &once.Answer{Status: 200, Body: make([]byte, 256)}
	decided := 0
	startedAt := time.Now()
	for _, c := range calls {
		if s.Admit(c.Issued, c, c.Key).Decision == once.Start {
			decided++
		}
		s.Finish(c, answer)
	}
	perCall := time.Since(startedAt) / timedCalls
	share := scaleRequests * perCall.Seconds()
	fmt.Fprintf(w, "\nkeyed calls on one core: %d of %d decided as first calls, %v each with the record of the answer, %.0f calls/s; %.4f%% of a core at %g calls/s (limit for the whole process %.1f%%)\n",
		decided, timedCalls, perCall, 1/perCall.Seconds(), 100*share, scaleRequests, 100*maxCoreShare)
	var broken []string
	if share > maxCoreShare {
		broken = append(broken, fmt.Sprintf("keyed calls take %.4f%% of a core, bound %.1f%%", 100*share, 100*maxCoreShare))
	}
	if decided < timedCalls {
		broken = append(broken, fmt.Sprintf("%d of %d keyed calls decided", decided, timedCalls))
	}
	return broken
}
