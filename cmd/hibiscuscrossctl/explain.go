package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/account"
	"github.com/hibiscuscross/hibiscuscross/pkg/operate"
)

type explainCmd struct {
	Log   string            `arg:"" help:"Log with the lines of entry processes, - for standard input."`
	ID    string            `help:"Explain this request only."`
	From  string            `help:"Explain requests that arrived at or after this time of day, as 15:04:05."`
	To    string            `help:"Explain requests that arrived before this time of day."`
	Worth map[string]string `help:"Credit of answers by route, on time and late, as NAME=1.5:0.75. The default is 1:0."`
	Plot  string            `help:"SVG file for a plot of outcomes, waits and pauses over time." type:"path"`
}

// Run explains the requests of a log.
func (c *explainCmd) Run(g *globals) error {
	worth, window, err := c.parse()
	if err != nil {
		return &operate.ExitError{Code: operate.ExitUsage, Err: err}
	}
	records, err := c.read()
	if err != nil {
		return err
	}
	if c.Plot != "" {
		var svg bytes.Buffer
		if err := account.WriteSVG(&svg, records); err != nil {
			return err
		}
		if err := os.WriteFile(c.Plot, svg.Bytes(), 0o644); err != nil {
			return err
		}
	}
	if c.ID != "" {
		return g.print(account.Find(records, c.ID))
	}
	return g.print(account.Summarize(records, window, worth))
}

func (c *explainCmd) read() ([]account.Record, error) {
	var in io.Reader = os.Stdin
	if c.Log != "-" {
		file, err := os.Open(c.Log)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }() // it was only read
		in = file
	}
	return account.Read(in)
}

// parse returns the values of the flags.
func (c *explainCmd) parse() (map[string]account.Worth, account.Window, error) {
	worth := map[string]account.Worth{}
	for route, value := range c.Worth {
		onTime, late, _ := strings.Cut(value, ":")
		var w account.Worth
		var err error
		if w.OnTime, err = strconv.ParseFloat(onTime, 64); err == nil && late != "" {
			w.Late, err = strconv.ParseFloat(late, 64)
		}
		if err != nil {
			return nil, account.Window{}, fmt.Errorf("--worth %s: %w", route, err)
		}
		worth[route] = w
	}
	window := account.Window{To: 24 * time.Hour}
	for _, f := range []struct {
		value string
		into  *time.Duration
	}{{c.From, &window.From}, {c.To, &window.To}} {
		if f.value == "" {
			continue
		}
		at, err := time.Parse(time.TimeOnly, f.value)
		if err != nil {
			return nil, account.Window{}, err
		}
		*f.into = time.Duration(at.Hour())*time.Hour + time.Duration(at.Minute())*time.Minute + time.Duration(at.Second())*time.Second
	}
	return worth, window, nil
}
