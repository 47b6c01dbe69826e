// Command hibiscuscross-capacity measures how the costs of the system grow with its size and writes the capacity page.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/hibiscuscross/hibiscuscross/pkg/capacity"
)

var cli struct {
	File string `arg:"" help:"Page to write." default:"docs/CAPACITY.md"`
}

func main() {
	kong.Parse(&cli, kong.Name("hibiscuscross-capacity"))
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "hibiscuscross-capacity:", err)
		os.Exit(1)
	}
}

func run() error {
	var page bytes.Buffer
	if err := capacity.WriteReport(&page, os.Stdout); err != nil {
		return err
	}
	old, err := os.ReadFile(cli.File)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return os.WriteFile(cli.File, capacity.KeepManualSection(old, page.Bytes()), 0o644)
}
