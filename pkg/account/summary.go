package account

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Line is the requests of one route that share a cause.
type Line struct {
	Route    string
	Cause    Cause
	Requests int
	// Lost is the credit lost: the sum over the requests of what an answer on time would have earned beyond their own.
	Lost float64
}

// Worth is the credit of an answer on time and of a late one.
type Worth struct{ OnTime, Late float64 }

// Summary attributes the credit that was lost to causes.
type Summary struct {
	Requests   int
	Owed, Lost float64
	Lines      []Line // largest loss first
	Prefix     Prefix
}

// Prefix sums up the cached parts of prompts.
type Prefix struct {
	// Processed and Expected are the prompt tokens that upstreams were expected to process and to have cached.
	Processed, Expected int
	// Seen is the number of requests whose first event showed whether the expected part was cached, SeenExpected the
	// tokens that were expected of these, and SeenCached those that were cached.
	Seen, SeenExpected, SeenCached int
	// Detours is the number of requests that were sent elsewhere than where most of their prompt was cached, and
	// DetourTime the time that their prefill was expected to take longer.
	Detours    int
	DetourTime time.Duration
}

func (p *Prefix) add(r Record) {
	if r.Cached < 0 || r.Sent < 0 {
		return
	}
	p.Processed += max(0, r.Uncached)
	p.Expected += r.Cached
	if r.CachedSeen >= 0 {
		p.Seen++
		p.SeenExpected += r.Cached
		p.SeenCached += r.CachedSeen
	}
	if r.Detour > 0 {
		p.Detours++
		p.DetourTime += r.Detour
	}
}

// Window selects requests by the time of day of their arrival. The zero value selects all.
type Window struct{ From, To time.Duration }

func (w Window) contains(at time.Duration) bool { return w == Window{} || at >= w.From && at < w.To }

// Summarize attributes the requests in the window. The credit of routes without an entry in worth is 1 for an answer on
// time and 0 for a late one.
func Summarize(records []Record, window Window, worth map[string]Worth) Summary {
	s := Summary{}
	lines := map[Line]*Line{}
	for _, r := range records {
		if !window.contains(r.Arrived) || r.Route == "" {
			continue
		}
		w, ok := worth[r.Route]
		if !ok {
			w = Worth{OnTime: 1}
		}
		s.Requests++
		s.Owed += w.OnTime
		s.Prefix.add(r)
		cause := CauseOf(r)
		if cause == OnTime {
			continue
		}
		lost := w.OnTime
		if r.Outcome == "done" && r.Status < 400 {
			lost -= w.Late
		}
		s.Lost += lost
		key := Line{Route: r.Route, Cause: cause}
		if lines[key] == nil {
			lines[key] = &Line{Route: r.Route, Cause: cause}
		}
		lines[key].Requests++
		lines[key].Lost += lost
	}
	for _, l := range lines {
		s.Lines = append(s.Lines, *l)
	}
	slices.SortFunc(s.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Cause, b.Cause))
	})
	return s
}

// Text returns a table of the causes over all routes, followed by one of each route.
func (s Summary) Text() string {
	var out strings.Builder
	byCause := map[Cause]*Line{}
	var causes []*Line
	for _, l := range s.Lines {
		if byCause[l.Cause] == nil {
			byCause[l.Cause] = &Line{Route: "all", Cause: l.Cause}
			causes = append(causes, byCause[l.Cause])
		}
		byCause[l.Cause].Requests += l.Requests
		byCause[l.Cause].Lost += l.Lost
	}
	slices.SortStableFunc(causes, func(a, b *Line) int { return cmp.Compare(b.Lost, a.Lost) })
	table := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "requests %d, credit owed %.1f, lost %.1f (%.1f%%)\n", s.Requests, s.Owed, s.Lost, 100*s.Lost/max(s.Owed, 1))
	fmt.Fprintln(table, "route\tcause\trequests\tlost\tof owed")
	for _, l := range causes {
		s.row(table, *l)
	}
	for _, l := range s.Lines {
		s.row(table, l)
	}
	_ = table.Flush() // a strings.Builder does not fail
	if p := s.Prefix; p.Processed+p.Expected > 0 {
		fmt.Fprintf(&out, "prompt tokens: %d to process, %d expected cached; seen at %d requests: %d expected, %d cached; %d detours cost %v\n",
			p.Processed, p.Expected, p.Seen, p.SeenExpected, p.SeenCached, p.Detours, p.DetourTime)
	}
	return out.String()
}

func (s Summary) row(w io.Writer, l Line) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%.1f%%\n", l.Route, l.Cause, l.Requests, l.Lost, 100*l.Lost/max(s.Owed, 1))
}

// Explanation is the records of one request with their causes. A request has one record for each router that got it.
type Explanation struct {
	Records []Record
	Causes  []Cause
}

// Find returns the explanation of the request with the id.
func Find(records []Record, id string) Explanation {
	var e Explanation
	for _, r := range records {
		if r.ID == id {
			e.Records, e.Causes = append(e.Records, r), append(e.Causes, CauseOf(r))
		}
	}
	return e
}

// Text returns one line for each record.
func (e Explanation) Text() string {
	if len(e.Records) == 0 {
		return "no line of this request\n"
	}
	var out strings.Builder
	for i, r := range e.Records {
		fmt.Fprintf(&out, "%s at %s, upstream %s: %s\n", r.ID, r.VM, r.Upstream, e.Causes[i])
		fmt.Fprintf(&out, "  waited for reports %v, model %v, adapter %v, other prompts %v; sent after %v, first event after %v of %v, expected %v after sending\n",
			r.ForReports, r.ForModel, r.ForAdapter, r.ForPrefill, r.Sent, r.FirstEvent, r.Target, r.Expected)
		if r.Cached >= 0 && r.Sent >= 0 {
			fmt.Fprintf(&out, "  prompt tokens: %d to process, %d expected cached, %s; detour cost %v\n", r.Uncached, r.Cached, seenText(r), r.Detour)
		}
		fmt.Fprintf(&out, "  longest pause %v of %v, ended after %v; took %v, outcome %s %s\n", r.Pause, r.MaxGap, r.PauseAt, r.Took, r.Outcome, r.Reason)
	}
	return out.String()
}

// seenText says how many of the tokens that were expected to be cached were.
func seenText(r Record) string {
	if r.CachedSeen < 0 {
		return "not seen whether they were"
	}
	return fmt.Sprintf("%d seen cached", r.CachedSeen)
}
