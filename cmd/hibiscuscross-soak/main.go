// Command hibiscuscross-soak runs the daemon's roles on loopback under random faults and checks what callers and
// runners observe.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"github.com/hibiscuscross/hibiscuscross/pkg/soak"
)

var cli struct {
	Binary        string        `help:"The daemon's binary." default:"target/hibiscuscrossd" type:"existingfile"`
	Seed          uint64        `help:"First seed; 0 draws one." default:"0"`
	Seeds         int           `help:"Number of seeds." default:"1"`
	Parallel      int           `help:"Seeds at a time." default:"1"`
	For           time.Duration `help:"Time in which faults begin." default:"12s"`
	KillEntries   bool          `help:"Kill all entries again and again while runners reject most requests, in place of random faults."`
	RepeatCrash   bool          `help:"Send a request that crashes runners again and again while all processes lose power, in place of random faults."`
	RemoveEngines bool          `help:"Remove one engine after the other at short notice, in place of random faults."`
	WithdrawKeys  bool          `help:"Withdraw callers' keys while routers are partitioned from the store, in place of random faults."`
	LimitEngines  bool          `help:"An engine and a plain runner name how many requests per second they take, in place of random faults."`
	Shape         string        `help:"Size and traffic: default, traitvif, vanstops, bluemahoe or large." default:"default"`
	Scenario      string        `help:"Disruptions in place of the random faults: mix, or some of steps, path-fin, cut, garble, freeze, hold, restarts, retry-after, entry-ends, sidecars, crashing, reject, unknown-stream, path-rst, stray-refusal, restored, reused-address and reused-plain-address, with commas." default:""`
	Net           int           `help:"Second byte of the first seed's loopback addresses. Runs at the same time need different ones." default:"20"`
	Logs          string        `help:"Folder for the logs of seeds that fail." default:""`
	Verbose       bool          `help:"Print the events and outcomes of each seed."`
}

var shape soak.Shape

func main() {
	kong.Parse(&cli, kong.Name("hibiscuscross-soak"))
	if cli.Seed == 0 {
		cli.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	binary, err := filepath.Abs(cli.Binary)
	if err == nil {
		shape, err = soak.ShapeNamed(cli.Shape)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "hibiscuscross-soak:", err)
		os.Exit(2)
	}
	failed := runSeeds(binary)
	fmt.Printf("%d passed, %d failed\n", cli.Seeds-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeeds runs all seeds and returns the number of failed ones. Concurrent runs get different loopback addresses.
func runSeeds(binary string) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	failed := 0
	loopbackNets := make(chan int, cli.Parallel)
	for i := range cli.Parallel {
		loopbackNets <- cli.Net + i
	}
	for n := range cli.Seeds {
		loopbackNet := <-loopbackNets
		wg.Add(1)
		go func() {
			defer wg.Done()
			ok := runSeed(binary, cli.Seed+uint64(n), loopbackNet)
			loopbackNets <- loopbackNet
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				failed++
			}
		}()
	}
	wg.Wait()
	return failed
}

// runSeed runs one seed, prints its result and reports whether it passed. Logs of a failed run are kept in cli.Logs.
func runSeed(binary string, seed uint64, loopbackNet int) bool {
	dir, err := os.MkdirTemp(cli.Logs, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		fmt.Println("seed", seed, "failed:", err)
		return false
	}
	res, err := soak.Run(soak.Options{Binary: binary, Dir: dir, Seed: seed, LoopbackNet: loopbackNet, Shape: shape, Scenario: cli.Scenario, FaultPeriod: cli.For, KillEntries: cli.KillEntries, RemoveEngines: cli.RemoveEngines, RepeatCrashingRequest: cli.RepeatCrash, WithdrawKeys: cli.WithdrawKeys, LimitEngines: cli.LimitEngines})
	ok := err == nil && len(res.Violations) == 0
	fmt.Printf("seed %d: %d events, %d of %d requests served after recovery, %d rules broken, err %v\n", seed, len(res.Events), res.Served, res.Sent, len(res.Violations), err)
	if !ok || cli.Verbose {
		printResult(res)
	}
	if !ok && cli.Logs != "" {
		fmt.Println("  logs:", dir)
		return false
	}
	_ = os.RemoveAll(dir) // a temporary directory that cannot be removed does no harm
	return ok
}

func printResult(res soak.Result) {
	for _, b := range res.Violations {
		fmt.Println("  broken:", b)
	}
	for _, e := range res.Events {
		fmt.Println("  event:", e)
	}
	for _, u := range res.RetryUse {
		fmt.Println("  retries:", u)
	}
	fmt.Println("  arrivals after the caller's answer:", res.LateArrivals, "deadlines too long:", res.LongDeadlines)
	names := make([]string, 0, len(res.Outcomes))
	for name := range res.Outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Printf("  outcome: %s: %d\n", name, res.Outcomes[name])
	}
}
