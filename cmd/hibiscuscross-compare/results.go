package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/paired"
	"github.com/hibiscuscross/hibiscuscross/platform/bench"
)

// key identifies the result of a play with a commit.
type key struct {
	Commit, Site, Day string
	Seed              int
}

func keyOf(commit string, p bench.Play) key {
	return key{Commit: commit, Site: siteName(p.Site), Day: p.Day, Seed: p.Seed}
}

func siteName(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }

// record is one line of the file of results.
type record struct {
	Key    key
	Result bench.Result
}

// results are the results of plays, those of earlier comparisons included.
type results struct {
	byKey map[key]bench.Result
	file  *os.File // nil if results are not kept
}

// openResults reads the file of results; an empty path keeps none.
func openResults(path string) (*results, error) {
	r := &results{byKey: map[key]bench.Result{}}
	if path == "" {
		return r, nil
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepSettings, path, "open results")
	}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var rec record
		if err := json.Unmarshal(lines.Bytes(), &rec); err != nil {
			return nil, errors.Join(fault.Wrap(err, fault.StepSettings, path, "decode results"), file.Close())
		}
		r.byKey[rec.Key] = rec.Result
	}
	r.file = file
	return r, fault.Wrap(lines.Err(), fault.StepSettings, path, "read results")
}

func (r *results) get(commit string, p bench.Play) (bench.Result, bool) {
	result, ok := r.byKey[keyOf(commit, p)]
	return result, ok
}

func (r *results) add(commit string, p bench.Play, result bench.Result) error {
	r.byKey[keyOf(commit, p)] = result
	if r.file == nil {
		return nil
	}
	raw, err := json.Marshal(record{Key: keyOf(commit, p), Result: result})
	if err != nil {
		return fault.Wrap(err, fault.StepSettings, p.Day, "encode result")
	}
	_, err = r.file.Write(append(raw, '\n'))
	return fault.Wrap(err, fault.StepSettings, p.Day, "write result")
}

func (r *results) close() {
	if r.file == nil {
		return
	}
	if err := r.file.Close(); err != nil {
		printError("close results", err)
	}
}

func printError(step string, err error) {
	fmt.Fprintln(os.Stderr, "hibiscuscross-compare:", step+":", err)
}

// measure is one figure of a result.
type measure struct {
	name string
	of   func(bench.Result) float64
}

// measures returns the figures to compare: the parts of the worth and, for each kind of request, its credit.
func measures(sample bench.Result) []measure {
	out := []measure{
		{"worth", func(r bench.Result) float64 { return r.Worth }},
		{"whole day", func(r bench.Result) float64 { return r.Day }},
		{"worst windows", func(r bench.Result) float64 { return r.WorstWindows }},
		{"worst kind", func(r bench.Result) float64 { return r.WorstKind }},
		{"prices", func(r bench.Result) float64 { return r.Prices }},
	}
	for i, kind := range sample.Kinds {
		out = append(out, measure{"credit of " + kind.Name, func(r bench.Result) float64 { return r.Kinds[i].Credit }})
	}
	return out
}

// printSite prints a row for each figure of the site's plays and a row of worth for each day.
func printSite(w io.Writer, site string, variants []*variant, plays []bench.Play, known *results) {
	byDay, byVariant := map[string][][]bench.Result{}, make([][]bench.Result, len(variants))
	var days []string
	for _, p := range plays {
		if p.Site != site {
			continue
		}
		if byDay[p.Day] == nil {
			byDay[p.Day] = make([][]bench.Result, len(variants))
			days = append(days, p.Day)
		}
		for i, v := range variants {
			r, _ := known.get(v.commit, p)
			byDay[p.Day][i], byVariant[i] = append(byDay[p.Day][i], r), append(byVariant[i], r)
			if len(r.BrokenRules) > 0 || r.Fault != "" {
				fmt.Fprintf(w, "%s %s seed %d at %s: rules broken %v, fault %q\n", siteName(site), p.Day, p.Seed, v.commit, r.BrokenRules, r.Fault)
			}
		}
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s\tplays\tmean\tstderr\t%.0f%% interval", siteName(site), 100*paired.Confidence)
	if len(variants) == 2 {
		fmt.Fprintf(table, "\tdifference\tstderr\t%.0f%% interval", 100*paired.Confidence)
	}
	fmt.Fprintln(table)
	for _, m := range measures(byVariant[0][0]) {
		printRow(table, m.name, m, byVariant)
	}
	for _, day := range days {
		printRow(table, day, measures(bench.Result{})[0], byDay[day])
	}
	if err := table.Flush(); err != nil {
		printError("print", err)
	}
}

// printRow prints the mean of a figure with the first variant and, if there is a second one, the mean difference.
func printRow(w io.Writer, name string, m measure, byVariant [][]bench.Result) {
	values := make([][]float64, len(byVariant))
	for i, rs := range byVariant {
		for _, r := range rs {
			values[i] = append(values[i], m.of(r))
		}
	}
	base := paired.Summarize(values[0])
	fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f to %.3f", name, base.Pairs, base.Mean, base.StdErr, base.Low, base.High)
	if len(values) == 2 {
		d := paired.Compare(values[0], values[1])
		fmt.Fprintf(w, "\t%+.3f\t%.3f\t%+.3f to %+.3f", d.Mean, d.StdErr, d.Low, d.High)
	}
	fmt.Fprintln(w)
}
