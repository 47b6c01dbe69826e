// Command hibiscuscross-compare plays the days of deployments with one or two commits on the users' bench and prints
// the mean results, or the mean differences of the pairs with their confidence intervals.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/hibiscuscross/hibiscuscross/platform/bench"
)

var cli struct {
	Sites   []string `arg:"" help:"Site files of the bench." type:"path"`
	Bench   string   `help:"Program of the bench." required:"" env:"HIBISCUSCROSS_BENCH" type:"path"`
	Base    string   `help:"Commit to compare with." default:"HEAD"`
	Change  string   `help:"Commit that is compared with the base; without it, the base alone is played."`
	Days    []string `help:"Names of days, or day files in the commits, to play; by default all standard days of each site."`
	Seeds   int      `help:"Number of seeds for each day." default:"3"`
	First   int      `help:"First seed." default:"1"`
	Jobs    int      `help:"Number of concurrent plays." default:"5"`
	Results string   `help:"File of the results of earlier plays, which are not played again. New ones are appended."`
	Why     string   `help:"Reason for the bench's journal." required:""`
}

func main() {
	kong.Parse(&cli, kong.Name("hibiscuscross-compare"))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "hibiscuscross-compare:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	known, err := openResults(cli.Results)
	if err != nil {
		return err
	}
	defer known.close()
	commits := []string{cli.Base}
	if cli.Change != "" {
		commits = append(commits, cli.Change)
	}
	var variants []*variant
	for _, commit := range commits {
		v, err := checkOut(ctx, commit)
		if err != nil {
			return err
		}
		defer v.remove()
		variants = append(variants, v)
	}
	plays, err := listPlays(cli.Sites, cli.Days, cli.First, cli.Seeds)
	if err != nil {
		return err
	}
	if err := playAll(ctx, bench.Bench{Path: cli.Bench, Why: cli.Why}, variants, plays, known, cli.Jobs); err != nil {
		return err
	}
	for _, site := range cli.Sites {
		printSite(os.Stdout, site, variants, plays, known)
	}
	return nil
}

// listPlays returns the plays of each site, day and seed.
func listPlays(sites, days []string, first, seeds int) ([]bench.Play, error) {
	var plays []bench.Play
	for _, site := range sites {
		names := days
		if len(names) == 0 {
			all, err := bench.Days(site)
			if err != nil {
				return nil, err
			}
			names = all
		}
		for _, day := range names {
			for seed := first; seed < first+seeds; seed++ {
				plays = append(plays, bench.Play{Site: site, Day: day, Seed: seed})
			}
		}
	}
	return plays, nil
}
