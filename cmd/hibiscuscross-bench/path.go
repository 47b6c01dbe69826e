package main

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/devcert"
)

// Bounds and load of the measurement, from the stated targets: router and agent add at p95 at most 2% of 0.7 s to the
// first token and 2% of 62 ms between tokens; a router uses less than half a core for 36 requests and 9,000 tokens per
// second; an idle process uses at most 128 MB; and a token costs at most twice the CPU time of the floor.
const (
	maxAddedFirst   = 14 * time.Millisecond
	maxAddedBetween = 1200 * time.Microsecond
	maxCores        = 0.5
	maxIdleMB       = 128
	maxFloorRatio   = 2.0
	requestsPerSec  = 36
	tokensPerAnswer = 250 // 9,000 tokens / 36 requests
)

// pathCmd runs the engine stand-in, agent, router, source and floor as separate processes and sends load to them from
// this process.
type pathCmd struct {
	Seconds  int           `help:"Length of each phase, s." default:"15"`
	Interval time.Duration `help:"Time between two tokens of an answer." default:"25ms"`
	Profile  string        `help:"File for a CPU profile of the router under load. Profiling adds to its CPU time."`
}

// phase is the result of one load: its requests and what the process under load used.
type phase struct {
	name     string
	requests int
	tokens   int
	failed   int
	elapsed  time.Duration
	first    []time.Duration // times to the first token
	between  []time.Duration // times between tokens
	used     usage
}

// Run runs the measurement and prints its results. The error names each broken bound.
func (p *pathCmd) Run() error {
	dir, err := os.MkdirTemp("", "hibiscuscross-bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	a, err := devcert.NewAuthority()
	if err != nil {
		return err
	}
	if err := a.WriteFiles(dir, "vm-router", "vm-agent"); err != nil {
		return err
	}
	c := &children{}
	defer c.stop()
	return p.measure(c, dir)
}

func (p *pathCmd) measure(c *children, dir string) error {
	engine, err := c.start("engine", "--interval", p.Interval.String(), "--tokens", fmt.Sprint(tokensPerAnswer))
	if err != nil {
		return err
	}
	agent, err := c.start("agent", "--dir", dir, "--to", engine.addr)
	if err != nil {
		return err
	}
	router, err := c.start("router", "--dir", dir, "--to", agent.addr)
	if err != nil {
		return err
	}
	source, err := c.start("source", "--dir", dir, "--interval", p.Interval.String(), "--tokens", fmt.Sprint(tokensPerAnswer))
	if err != nil {
		return err
	}
	floor, err := c.start("floor", "--dir", dir, "--to", source.addr)
	if err != nil {
		return err
	}
	idleRouter, idleAgent := router.usage(), agent.usage()
	if _, _, _, err := stream(router.addr, 1); err != nil {
		return fmt.Errorf("send the first request, a cold start: %w", err)
	}
	length := time.Duration(p.Seconds) * time.Second
	oneToken := load(router, loadSpec{name: "router, 1 token", length: 5 * time.Second, rate: requestsPerSec, tokens: 1})
	if p.Profile != "" {
		go router.saveProfile(p.Profile, p.Seconds)
	}
	routerLoad := load(router, loadSpec{name: "router", length: length, rate: requestsPerSec, directAddr: engine.addr})
	floorLoad := load(floor, loadSpec{name: "floor", length: length, rate: requestsPerSec})
	return report(oneToken, routerLoad, floorLoad, idleRouter, idleAgent)
}

// report prints the results and returns an error that names each broken bound.
func report(oneToken, routerLoad, floorLoad *phase, idleRouter, idleAgent usage) error {
	var broken []error
	check := func(ok bool, format string, args ...any) {
		text := fmt.Sprintf(format, args...)
		mark := "ok    "
		if !ok {
			mark = "BROKEN"
			broken = append(broken, errors.New(text))
		}
		fmt.Printf("%s %s\n", mark, text)
	}
	for _, ph := range []*phase{oneToken, routerLoad, floorLoad} {
		ph.print()
	}
	direct := routerLoad.used.direct
	first := quantile(routerLoad.first, 0.95) - quantile(direct.first, 0.95)
	between := quantile(routerLoad.between, 0.95) - quantile(direct.between, 0.95)
	fmt.Printf("added to the first token: p50 %v, p95 %v; between tokens: p50 %v, p95 %v (direct: p95 %v, %v; %d requests)\n",
		quantile(routerLoad.first, 0.5)-quantile(direct.first, 0.5), first, quantile(routerLoad.between, 0.5)-quantile(direct.between, 0.5), between,
		quantile(direct.first, 0.95), quantile(direct.between, 0.95), len(direct.first))
	check(first <= maxAddedFirst, "first token, added at p95: %v, bound %v", first, maxAddedFirst)
	check(between <= maxAddedBetween, "between tokens, added at p95: %v, bound %v", between, maxAddedBetween)
	check(routerLoad.failed == 0 && oneToken.failed == 0, "failed requests: %d of %d", routerLoad.failed+oneToken.failed, routerLoad.requests+oneToken.requests)
	rate, tokens := routerLoad.rates()
	check(rate >= requestsPerSec*0.98 && tokens >= requestsPerSec*tokensPerAnswer*0.95, "carried: %.1f requests/s and %.0f tokens/s, bound 36 and 9,000 (less 2%% and 5%% for the ends of the run)", rate, tokens)
	check(routerLoad.cores() < maxCores, "router CPU: %.3f cores, bound %.1f", routerLoad.cores(), maxCores)
	ratio := routerLoad.cpuPerToken().Seconds() / floorLoad.cpuPerToken().Seconds()
	check(ratio <= maxFloorRatio, "router CPU for a token: %v, floor %v, ratio %.2f, bound %.1f", routerLoad.cpuPerToken(), floorLoad.cpuPerToken(), ratio, maxFloorRatio)
	check(idleRouter.RSSMB <= maxIdleMB && idleAgent.RSSMB <= maxIdleMB, "idle memory: router %.1f MB, agent %.1f MB, bound %d MB", idleRouter.RSSMB, idleAgent.RSSMB, maxIdleMB)
	return errors.Join(broken...)
}

func (ph *phase) rates() (requests, tokens float64) {
	s := ph.elapsed.Seconds()
	return float64(ph.requests) / s, float64(ph.tokens) / s
}

func (ph *phase) cores() float64 { return ph.used.CPU.Seconds() / ph.used.elapsed.Seconds() }

func (ph *phase) cpuPerToken() time.Duration { return ph.used.CPU / time.Duration(max(1, ph.tokens)) }

func (ph *phase) print() {
	n, t := float64(max(1, ph.requests)), float64(max(1, ph.tokens))
	fmt.Printf("%s: %d requests, %d tokens, %d failed in %.1f s; per request: %.0f µs CPU, %.0f allocations, %.0f bytes; per token: %.1f µs CPU, %.2f allocations, %.0f bytes; RSS %.1f MB\n",
		ph.name, ph.requests, ph.tokens, ph.failed, ph.elapsed.Seconds(),
		float64(ph.used.CPU.Microseconds())/n, float64(ph.used.Mallocs)/n, float64(ph.used.Bytes)/n,
		float64(ph.used.CPU.Nanoseconds())/1000/t, float64(ph.used.Mallocs)/t, float64(ph.used.Bytes)/t, ph.used.RSSMB)
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	s := append([]time.Duration(nil), d...)
	sort.Slice(s, func(i, j int) bool { return s[i] < s[j] })
	return s[min(len(s)-1, int(q*float64(len(s))))].Round(time.Microsecond)
}
