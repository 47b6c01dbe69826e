// Command hibiscuscross-matrix runs the cells of the fault matrix and prints the violations found and the counts of
// runs.
package main

import (
	"fmt"
	"os"
	"sync"

	"github.com/alecthomas/kong"

	"github.com/hibiscuscross/hibiscuscross/pkg/matrix"
)

var cli struct {
	Seeds   uint64 `help:"Seeds for each cell." default:"2"`
	First   uint64 `help:"First seed." default:"1"`
	Pairs   int    `help:"Pairs of faults to run, drawn by seed; every tenth is a cell twice." default:"100"`
	Cell    string `help:"Run one cell only, as step/fault; with --trace also a pair, as step/fault+step/fault."`
	Trace   bool   `help:"Print the course of the run; with --cell."`
	Workers int    `help:"Runs at once." default:"6"`
	Verbose bool   `help:"Print the counts of each run."`
}

// run is a planned run of a cell or a pair of cells.
type run struct {
	name string
	seed uint64
	do   func() (matrix.Stats, error)
}

func main() {
	kong.Parse(&cli, kong.Name("hibiscuscross-matrix"))
	if cli.Trace {
		os.Exit(traceRun())
	}
	failed, notReached := execute(plan())
	fmt.Printf("%d passed, %d failed\n", completed-failed, failed)
	fmt.Printf("%d runs did not reach their step\n", notReached)
	if failed > 0 {
		os.Exit(1)
	}
}

// plan returns the runs: every cell with each seed, then pairs of cells.
func plan() []run {
	var out []run
	cells := matrix.Cells()
	for _, c := range cells {
		if cli.Cell != "" && c.String() != cli.Cell {
			continue
		}
		for i := range cli.Seeds {
			seed := cli.First + i
			out = append(out, run{c.String(), seed, func() (matrix.Stats, error) { return matrix.RunCell(c, seed, matrix.Defects{}) }})
		}
	}
	if cli.Cell != "" {
		return out
	}
	for i := range cli.Pairs {
		a, b := cells[(i*37)%len(cells)], cells[(i*101+13)%len(cells)]
		if i%10 == 0 {
			b = a
		}
		seed := cli.First + uint64(i)
		out = append(out, run{a.String() + "+" + b.String(), seed, func() (matrix.Stats, error) { return matrix.RunPair(a, b, seed) }})
	}
	return out
}

var completed int

// execute executes the runs and returns how many failed and how many did not reach their step.
func execute(runs []run) (failed, notReached int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := make(chan run)
	for range cli.Workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for r := range next {
				stats, err := r.do()
				mu.Lock()
				completed++
				if err != nil {
					failed++
					fmt.Printf("FAIL %s seed %d: %v\n", r.name, r.seed, err)
				} else if cli.Verbose {
					fmt.Printf("ok   %s seed %d: %s\n", r.name, r.seed, stats)
				}
				if !stats.Injected && err == nil {
					notReached++
				}
				mu.Unlock()
			}
		}()
	}
	for _, r := range runs {
		next <- r
	}
	close(next)
	wg.Wait()
	return failed, notReached
}

// traceRun runs one cell or pair, prints its trace and returns the exit status.
func traceRun() int {
	setup, err := matrix.Parse(cli.Cell, cli.First)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := matrix.NewWorld(cli.First, setup)
	w.SetTrace(func(line string) { fmt.Println(line) })
	err = w.Run()
	fmt.Println(w.Stats())
	if err != nil {
		fmt.Println(err)
		return 1
	}
	return 0
}
