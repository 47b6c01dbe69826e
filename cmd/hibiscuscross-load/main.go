// Command hibiscuscross-load sends a bounded load to routers and reports what callers see.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/hibiscuscross/hibiscuscross/pkg/loadgen"
)

var cli struct {
	URLs               []string      `arg:"" name:"url" help:"URLs of routers, used in turn."`
	Key                string        `help:"The caller's key." env:"HIBISCUSCROSS_CALLER_KEY"`
	Seed               uint64        `help:"Seed of the load." default:"1"`
	Count              int           `help:"Number of requests." default:"200"`
	Rate               float64       `help:"Mean arrivals per second." default:"20"`
	MaxTime            time.Duration `help:"Longest time during which requests are started." default:"60s"`
	Models             []string      `help:"Model and adapter names, the most popular first."`
	Skew               float64       `help:"Popularity falls with rank to the power of minus this." default:"1"`
	BurstShare         float64       `help:"Share of arrivals that are bursts for one model." default:"0.05"`
	BurstSize          int           `help:"Requests in a burst." default:"8"`
	PlainShare         float64       `help:"Share of requests to the plain service." default:"0"`
	NonIdempotentShare float64       `help:"Share of these that are non-idempotent." default:"0.5"`
	Service            string        `help:"Name of the plain service."`
	RunPath            string        `help:"Path of non-idempotent calls." default:"/loans"`
	LookupPath         string        `help:"Path of lookups." default:"/lookups/1"`
	Tokens             int           `help:"Tokens in each answer." default:"16"`
	WholeShare         float64       `help:"Share of model requests that are not streamed." default:"0.1"`
	Deadline           time.Duration `help:"Time within which an answer has to begin." default:"30s"`
	MaxInFlight        int           `help:"Requests at once." default:"512"`
	ColdAfter          time.Duration `help:"A request is a cold start if its model gave no answer for so long." default:"10s"`
	NoCheckText        bool          `help:"Do not compare the text with that of the engine stand-in."`
	Summary            string        `help:"URL of the summary of a deployment of stand-ins, added to the report."`
	JSON               string        `help:"File for the report as JSON; - for standard output instead of text."`
}

// exitFailures is the exit status of a run with failed requests.
const exitFailures = 4

func main() {
	kong.Parse(&cli, kong.Name("hibiscuscross-load"))
	failures, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "hibiscuscross-load:", err)
		os.Exit(1)
	}
	if failures > 0 {
		os.Exit(exitFailures)
	}
}

func options() loadgen.Options {
	return loadgen.Options{
		URLs: cli.URLs, Key: cli.Key, Seed: cli.Seed, Count: cli.Count, Rate: cli.Rate, MaxTime: cli.MaxTime,
		Models: cli.Models, Skew: cli.Skew, BurstShare: cli.BurstShare, BurstSize: cli.BurstSize,
		PlainShare: cli.PlainShare, NonIdempotentShare: cli.NonIdempotentShare, Service: cli.Service,
		RunPath: cli.RunPath, LookupPath: cli.LookupPath, Tokens: cli.Tokens, WholeShare: cli.WholeShare,
		Deadline: cli.Deadline, MaxInFlight: cli.MaxInFlight, ColdAfter: cli.ColdAfter, CheckText: !cli.NoCheckText,
	}
}

// run sends the load, writes the report and returns the number of failed requests. After an interruption, it reports
// the requests that have ended.
func run() (int, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c := loadgen.NewCollector(cli.Seed, time.Now())
	runErr := loadgen.Run(ctx, options(), c.Add)
	report := c.Report(time.Now())
	if report.Sent == 0 && runErr != nil {
		return 0, runErr
	}
	if cli.Summary != "" {
		if err := fetchSummary(&report); err != nil {
			return 0, err
		}
	}
	if err := write(report); err != nil {
		return 0, err
	}
	return report.Failures, runErr
}

func fetchSummary(r *loadgen.Report) error {
	resp, err := http.Get(cli.Summary)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(&r.Summary)
}

func write(r loadgen.Report) error {
	if cli.JSON != "-" {
		r.WriteText(os.Stdout)
	}
	if cli.JSON == "" {
		return nil
	}
	out := os.Stdout
	if cli.JSON != "-" {
		f, err := os.Create(cli.JSON)
		if err != nil {
			return err
		}
		defer f.Close()
		out = f
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
