package capacity

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"strings"

	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// WriteReport runs all measurements and writes the page to w and its progress to log.
func WriteReport(w, log io.Writer) error {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	base := float64(mem.Sys)
	series := append(AllSeries(), gossipSeries()...)
	fits := map[string]Fit{}
	for _, s := range series {
		var points []Point
		for _, n := range s.Sizes {
			points = append(points, Point{float64(n), s.Measure(n)})
		}
		fits[s.ID] = NewFit(points)
		fmt.Fprintf(log, "%s: slope %.4g, intercept %.4g %s, worst residual %.1f%%\n", s.ID, fits[s.ID].Slope, fits[s.ID].Intercept, s.Unit, 100*fits[s.ID].WorstResidual())
	}
	callBytes, heartbeatBytes, cpu := watchCost()
	b := computeBudget(fits, base, callBytes, heartbeatBytes, cpu)
	g := compareGossip(fits)
	var out strings.Builder
	out.WriteString(intro(callBytes, heartbeatBytes, cpu))
	writeSlopes(&out, series, fits)
	b.writeBudgets(&out)
	b.writeSharedLimits(&out)
	b.writeFailures(&out)
	out.WriteString("## A gossip heartbeat beside this design\n\n" + g.section(b))
	_, err := io.WriteString(w, out.String())
	return err
}

// intro returns the beginning of the page.
func intro(callBytes, heartbeatBytes, cpu float64) string {
	return fmt.Sprintf("# Capacity\n\n"+
		"`make capacity` writes this page from one run: %s, %s/%s, %d processors. It measures the encoders, the state and\n"+
		"the decisions of this repository at three or more sizes, fits a line by least squares (weighted by 1/value²), and works\n"+
		"out the design scale of section 1.5 of `design.md` from the lines. CPU times are the least of three rounds; other load\n"+
		"on the machine can raise them. A residual is the difference of a measurement from its line.\n\n"+
		"Not measured here: stream reassembly, the duties around the decisions, QUIC and TLS,\n"+
		"and latencies from end to end. Names and sizes in the sample documents are regular; real documents compress less.\n\n"+
		"One watch that finds nothing takes %.0f B on its connection and %.0f µs of CPU time, client and stand-in together;\n"+
		"each sign of life of a held watch takes %.0f B.\n\n",
		runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), callBytes, cpu, heartbeatBytes)
}

// writeSlopes writes the table of the measurements and names the quantities that are not linear.
func writeSlopes(w io.Writer, series []Series, fits map[string]Fit) {
	fmt.Fprint(w, "## Slopes\n\n| role | quantity | sizes | measured | slope | at 0 | residuals |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range series {
		f := fits[s.ID]
		var sizes, values, residuals []string
		for i, p := range f.Points {
			sizes = append(sizes, fmt.Sprintf("%.0f", p.N))
			values = append(values, number(p.Value))
			residuals = append(residuals, fmt.Sprintf("%+.0f%%", 100*f.Residuals[i]))
		}
		fmt.Fprintf(w, "| %s | %s, %s | %s | %s | %s per %s | %s | %s |\n", s.Role, s.Description, s.Unit, strings.Join(sizes, ", "),
			strings.Join(values, ", "), number(f.Slope), s.Per, number(f.Intercept), strings.Join(residuals, ", "))
	}
	var nonLinear []string
	for _, s := range series {
		if fits[s.ID].WorstResidual() > maxLinearResidual {
			nonLinear = append(nonLinear, s.Description)
		}
	}
	if len(nonLinear) > 0 {
		fmt.Fprintf(w, "\nWith a residual above %.0f%%, because they are not linear or other load disturbed the run; their lines must not be extended beyond\nthe measured sizes: %s.\n", 100*maxLinearResidual, strings.Join(nonLinear, "; "))
	}
	fmt.Fprintln(w)
}

// maxLinearResidual is the largest residual with which a quantity counts as linear.
const maxLinearResidual = 0.2

// writeBudgets writes the control overhead of each role against its budget.
func (b Budget) writeBudgets(w io.Writer) {
	for _, role := range []string{"router", "agent"} {
		fmt.Fprintf(w, "## Control overhead of one %s\n\n| part | B/s | B/s with the design changes | CPU, %% of a core | memory |\n| --- | --- | --- | --- | --- |\n", role)
		row := func(what string, l Line) {
			fmt.Fprintf(w, "| %s | %s | %s | %.4f | %s |\n", what, number(l.Bytes), number(l.ChangedBytes), 100*l.Cores, size(l.Memory))
		}
		for _, l := range b.Lines {
			if l.Role == role {
				row(l.Description, l)
			}
		}
		t := b.total(role)
		row("**total**", t)
		fmt.Fprintf(w, "| budget | %d | %d | %.1f | %s |\n", budgetControl, budgetControl, 100*budgetCPU, size(budgetMemory))
		fmt.Fprintf(w, "| headroom | %s | %s | %s | %s |\n\n", headroom(t.Bytes, budgetControl), headroom(t.ChangedBytes, budgetControl), headroom(t.Cores, budgetCPU), headroom(t.Memory, budgetMemory))
	}
	b.writeDesignChanges(w)
}

// writeDesignChanges writes the design changes that reduce parts of the overhead.
func (b Budget) writeDesignChanges(w io.Writer) {
	fmt.Fprint(w, "The control bytes do not fit as built. Design changes that make them smaller, none of them built:\n\n")
	for _, l := range b.Lines {
		if l.Role == "router" && l.Change != "" {
			fmt.Fprintf(w, "- %s: %s (%s B/s instead of %s at a router).\n", l.Description, l.Change, number(l.ChangedBytes), number(l.Bytes))
		}
	}
	fmt.Fprintf(w, "\nA new version takes %.0f ms of CPU time to decode, check and index. It is decoded in a duty of its own: in the one that\nhandles requests it would delay them by more than the %.0f ms that the system may add.\n\n", b.fits["doc.cpu"].At(adapters)/1e3, 1e3*budgetFirstToken)
}

// writeSharedLimits writes the load at the design scale against the limits that all processes share.
func (b Budget) writeSharedLimits(w io.Writer) {
	fits := b.fits
	fmt.Fprint(w, "## Shared limits\n\n| line | at the design scale | limit | headroom |\n| --- | --- | --- | --- |\n")
	row := func(what string, value, limit float64, unit string) {
		fmt.Fprintf(w, "| %s | %s %s | %s %s | %s |\n", what, number(value), unit, number(limit), unit, headroom(value, limit))
	}
	row("store reads, a waiting watch as one call, quiet", processes/store.WatchHold.Seconds(), budgetStoreReads, "calls/s")
	row("store reads, changes all the time", processes/store.WatchMinInterval.Seconds(), budgetStoreReads, "calls/s")
	writes := 2*models*wakeFraction/hour + 4*vmsReplaced/day + changesPerDay/day*10
	row("store writes: wake-ups, restarts, applies that lower 9 limits each", writes, budgetStoreWrites, "calls/s")
	row("upstream records at their highest rate, one in 30 s each", upstreams/30.0, budgetStoreWrites, "calls/s")
	row("value of config/current", fits["doc.stored"].At(adapters), store.MaxValueBytes, "B")
	row("the same without compression, base64 of the document", fits["doc.raw"].At(adapters)*4/3, store.MaxValueBytes, "B")
	row("configuration in force, watch", store.WatchMinInterval.Seconds(), budgetConfigDelay, "s")
	row("configuration in force, watch silent, read failed, peer asked", maxConfigDelay(), budgetConfigDelay, "s")
	row("codec's share of the time to the first token: Open, Accept, Data", (fits["open.cpu"].Slope+fits["accept.cpu"].Slope+fits["token.cpu"].Slope)/1e3, 1e3*budgetFirstToken, "ms")
	row("codec's share between tokens", fits["token.cpu"].Slope/1e3, budgetBetweenTokens, "ms")
	row("codec's CPU for Data frames at a router, each encoded and decoded once", routerTokens*fits["token.cpu"].Slope/1e6, 0.5, "cores")
	apply := fits["apply.calls"]
	fmt.Fprintf(w, "\nAn apply that lowers the limits of all %d models makes %.0f store calls and writes %s.\n", models, apply.At(models), size(fits["apply.bytes"].At(models)))
	fmt.Fprintf(w, "Frames carry %s B around each token's payload, which is %s/s at a router; this belongs to the data path and is not in the\ncontrol budget. At the highest rate of upstream records, each node would receive %s/s by its watch, which does not fit\ninto %s/s. Design change: one record in 5 minutes for changes of tiers only, at once only for draining.\n\n",
		number(fits["token.bytes"].Slope), size(routerTokens*fits["token.bytes"].Slope), size(upstreams/30.0*entryBytes("upstreams/"+vm(0), upstreamValue(0))), size(budgetControl))
}

// headroom returns a text with the share of a limit that remains, or the factor by which the limit is exceeded.
func headroom(value, limit float64) string {
	if value > limit {
		return fmt.Sprintf("**exceeded %.1f times**", value/limit)
	}
	return fmt.Sprintf("%.0f%%", 100*(1-value/limit))
}

// number formats a value with three significant digits, or as an integer from 100.
func number(v float64) string {
	switch a := math.Abs(v); {
	case a < 1e-9:
		return "0"
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// size formats a number of bytes.
func size(bytes float64) string {
	switch {
	case bytes >= 1<<20:
		return fmt.Sprintf("%.1f MiB", bytes/(1<<20))
	case bytes >= 1<<10:
		return fmt.Sprintf("%.1f KiB", bytes/(1<<10))
	}
	return fmt.Sprintf("%.0f B", bytes)
}
