package main

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/devcert"
)

// Bounds of the path, from the stated targets: 2% of 0.7 s to the first token and of 62 ms between tokens at p95, half
// of a core for 36 requests and 9,000 tokens a second, 128 MB for an idle process, and twice the floor's CPU time.
const (
	maxAddedFirst   = 14 * time.Millisecond
	maxAddedBetween = 1200 * time.Microsecond
	maxCores        = 0.5
	maxIdleMB       = 128
	maxFloorRatio   = 2.0
	requestsPerSec  = 36
	tokensPerAnswer = 250 // 9,000 tokens / 36 requests
)

// pathCmd runs the engine stand-in, agent, router and floor as processes of their own and loads them from this one.
type pathCmd struct {
	Seconds  int           `help:"Length of each phase, s." default:"15"`
	Interval time.Duration `help:"Time between two tokens of an answer." default:"25ms"`
	Profile  string        `help:"File for a CPU profile of the router under load. Profiling adds to its CPU time."`
}

// phase is what one load did and what the loaded process used.
type phase struct {
	name     string
	requests int
	tokens   int
	failed   int
	elapsed  time.Duration
	first    []time.Duration // to the first token
	between  []time.Duration // between tokens
	used     usage
}

// Run measures and reports. The error names each broken bound.
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
		return fmt.Errorf("first request, with the cold start: %w", err)
	}
	length := time.Duration(p.Seconds) * time.Second
	short := load(router, loadSpec{name: "router, 1 token", length: 5 * time.Second, rate: requestsPerSec, tokens: 1})
	if p.Profile != "" {
		go router.profile(p.Profile, p.Seconds)
	}
	path := load(router, loadSpec{name: "router", length: length, rate: requestsPerSec, beside: engine.addr})
	bare := load(floor, loadSpec{name: "floor", length: length, rate: requestsPerSec})
	return report(short, path, bare, idleRouter, idleAgent)
}

func report(short, path, bare *phase, idleRouter, idleAgent usage) error {
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
	for _, x := range []*phase{short, path, bare} {
		x.print()
	}
	direct := path.used.direct
	first := quantile(path.first, 0.95) - quantile(direct.first, 0.95)
	between := quantile(path.between, 0.95) - quantile(direct.between, 0.95)
	fmt.Printf("added to the first token: p50 %v, p95 %v; between tokens: p50 %v, p95 %v (direct: p95 %v, %v; %d requests)\n",
		quantile(path.first, 0.5)-quantile(direct.first, 0.5), first, quantile(path.between, 0.5)-quantile(direct.between, 0.5), between,
		quantile(direct.first, 0.95), quantile(direct.between, 0.95), len(direct.first))
	check(first <= maxAddedFirst, "first token, added at p95: %v, bound %v", first, maxAddedFirst)
	check(between <= maxAddedBetween, "between tokens, added at p95: %v, bound %v", between, maxAddedBetween)
	check(path.failed == 0 && short.failed == 0, "failed requests: %d of %d", path.failed+short.failed, path.requests+short.requests)
	rate, tokens := path.rates()
	check(rate >= requestsPerSec*0.98 && tokens >= requestsPerSec*tokensPerAnswer*0.95, "carried: %.1f requests/s and %.0f tokens/s, bound 36 and 9,000 (less 2%% and 5%% for the ends of the run)", rate, tokens)
	check(path.cores() < maxCores, "router CPU: %.3f cores, bound %.1f", path.cores(), maxCores)
	ratio := path.cpuPerToken().Seconds() / bare.cpuPerToken().Seconds()
	check(ratio <= maxFloorRatio, "router CPU for a token: %v, floor %v, ratio %.2f, bound %.1f", path.cpuPerToken(), bare.cpuPerToken(), ratio, maxFloorRatio)
	check(idleRouter.RSSMB <= maxIdleMB && idleAgent.RSSMB <= maxIdleMB, "idle memory: router %.1f MB, agent %.1f MB, bound %d MB", idleRouter.RSSMB, idleAgent.RSSMB, maxIdleMB)
	return errors.Join(broken...)
}

func (x *phase) rates() (requests, tokens float64) {
	s := x.elapsed.Seconds()
	return float64(x.requests) / s, float64(x.tokens) / s
}

func (x *phase) cores() float64 { return x.used.CPU.Seconds() / x.used.span.Seconds() }

func (x *phase) cpuPerToken() time.Duration { return x.used.CPU / time.Duration(max(1, x.tokens)) }

func (x *phase) print() {
	n, t := float64(max(1, x.requests)), float64(max(1, x.tokens))
	fmt.Printf("%s: %d requests, %d tokens, %d failed in %.1f s; per request: %.0f µs CPU, %.0f allocations, %.0f bytes; per token: %.1f µs CPU, %.2f allocations, %.0f bytes; RSS %.1f MB\n",
		x.name, x.requests, x.tokens, x.failed, x.elapsed.Seconds(),
		float64(x.used.CPU.Microseconds())/n, float64(x.used.Mallocs)/n, float64(x.used.Bytes)/n,
		float64(x.used.CPU.Nanoseconds())/1000/t, float64(x.used.Mallocs)/t, float64(x.used.Bytes)/t, x.used.RSSMB)
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	s := append([]time.Duration(nil), d...)
	sort.Slice(s, func(i, j int) bool { return s[i] < s[j] })
	return s[min(len(s)-1, int(q*float64(len(s))))].Round(time.Microsecond)
}
