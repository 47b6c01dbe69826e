package policybench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const (
	// minHalfLoadRatio is the minimum ratio of the shares in time at half of the capacity. All queues are short then, so
	// that every discipline answers nearly every request; wrong refusals may cost at most one request in a hundred.
	minHalfLoadRatio = 0.99
	// maxWasteRatio is the maximum ratio of the share of wasted slot time to that of each baseline.
	maxWasteRatio = 1.0
	// maxQueueWait is the maximum wait of any request: the longest deadline of the workload (invariant I3: a request
	// is served or refused before its deadline).
	maxQueueWait = 60 * time.Second
)

// queueLoads returns the offered loads as multiples of the capacity.
func queueLoads() []float64 { return []float64{0.5, 1, 2} }

func runQueues(w io.Writer, o Options) []string {
	return append(queueTable(w, InTimeComplete, o), queueTable(w, InTimeStarted, o)...)
}

func queueTable(w io.Writer, t InTimeCondition, o Options) []string {
	fmt.Fprintf(w, "\nqueues: 1 upstream, %d slots, classes 8, 5 and 2, %d x %s, in time if the answer is %s before the deadline; ratio of admission's share in time to the row's\n", queueSlots, o.Seeds, shortDuration(o.Queue), t)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "load\tqueue\trequests\trefused at once\tin time %\tclass 8 %\tclass 5 %\tclass 2 %\tclass 2 longest wait s\tclass 2 longest gap s\twasted slot time %\tratio\tadmission better\t")
	var broken []string
	for _, load := range queueLoads() {
		admissionResult := sumQueue(DisciplineAdmission, t, load, o)
		queueRow(tw, load, DisciplineAdmission, admissionResult, "", "")
		if wait := admissionResult.Total().LongestWait; wait > maxQueueWait {
			broken = append(broken, fmt.Sprintf("queue, %s, load %g: a request waits %v, bound %v", t, load, wait, maxQueueWait))
		}
		for _, d := range []Discipline{DisciplineFirstCome, DisciplineFirstComeExpire} {
			r := sumQueue(d, t, load, o)
			ratio := admissionResult.Total().Share() / r.Total().Share()
			queueRow(tw, load, d, r, fmt.Sprintf("%.4f", ratio), yesNo(ratio > 1))
			broken = append(broken, queueBounds(t, load, d, admissionResult, r)...)
		}
	}
	_ = tw.Flush()
	return broken
}

func sumQueue(d Discipline, t InTimeCondition, load float64, o Options) QueueResult {
	var r QueueResult
	for seed := range o.Seeds {
		r.add(SimulateQueue(d, t, load, uint64(seed+1), o.Queue))
	}
	return r
}

func queueRow(w io.Writer, load float64, d Discipline, r QueueResult, ratio, better string) {
	low := r.Classes[len(r.Classes)-1]
	fmt.Fprintf(w, "%g\t%s\t%d\t%d\t%.2f\t", load, d, r.Total().Requests, r.Refused, 100*r.Total().Share())
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%.2f\t", 100*c.Share())
	}
	fmt.Fprintf(w, "%.1f\t%.1f\t%.2f\t%s\t%s\t\n", low.LongestWait.Seconds(), low.LongestGap.Seconds(), 100*r.WastedShare(), ratio, better)
}

// queueBounds returns the bounds that admission breaks against one baseline: the share in time of all classes and of
// the highest class, and the share of wasted slot time.
func queueBounds(t InTimeCondition, load float64, d Discipline, admissionResult, baseline QueueResult) []string {
	bound := minShareRatio
	if load < 1 {
		bound = minHalfLoadRatio
	}
	var broken []string
	check := func(what string, ratio float64) {
		if ratio < bound {
			broken = append(broken, fmt.Sprintf("queue, %s, load %g: %s in time, %.4f of %s, bound %.3f", t, load, what, ratio, d, bound))
		}
	}
	check("all classes", admissionResult.Total().Share()/baseline.Total().Share())
	check("class 8", admissionResult.Classes[0].Share()/baseline.Classes[0].Share())
	if admissionResult.WastedShare() > maxWasteRatio*baseline.WastedShare() {
		broken = append(broken, fmt.Sprintf("queue, %s, load %g: %.2f%% of the slot time wasted, %s %.2f%%", t, load, 100*admissionResult.WastedShare(), d, 100*baseline.WastedShare()))
	}
	return broken
}

// yesNo returns the table text that states whether a policy is better than its baseline.
func yesNo(better bool) string {
	if better {
		return "yes"
	}
	return "NO"
}
