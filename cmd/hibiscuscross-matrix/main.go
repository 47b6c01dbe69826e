// Command hibiscuscross-matrix runs the fault matrix and prints its cells, the violations found and the counts.
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

// run is one run to do.
type run struct {
	name string
	seed uint64
	do   func() (matrix.Stats, error)
}

func main() {
	kong.Parse(&cli, kong.Name("hibiscuscross-matrix"))
	if cli.Trace {
		os.Exit(traceOne())
	}
	failed, idle := execute(plan())
	fmt.Printf("%d passed, %d failed\n", done-failed, failed)
	fmt.Printf("%d runs did not reach their step\n", idle)
	if failed > 0 {
		os.Exit(1)
	}
}

// plan lists the runs: every cell with each seed, then pairs.
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

var done int

// execute runs all and returns how many failed and how many did not reach their step.
func execute(runs []run) (failed, idle int) {
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
				done++
				if err != nil {
					failed++
					fmt.Printf("FAIL %s seed %d: %v\n", r.name, r.seed, err)
				} else if cli.Verbose {
					fmt.Printf("ok   %s seed %d: %s\n", r.name, r.seed, stats)
				}
				if !stats.Injected && err == nil {
					idle++
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
	return failed, idle
}

// traceOne prints the course of one run.
func traceOne() int {
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
