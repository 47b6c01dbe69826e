package main

import (
	"io"
	"os"

	"github.com/hibiscuscross/hibiscuscross/pkg/operate"
	"github.com/hibiscuscross/hibiscuscross/platform"
)

// Exit codes of check, which differ from those of the other commands.
const (
	exitFindings   = 1
	exitUnreadable = 2
)

type checkCmd struct {
	File    string `arg:"" help:"Configuration on the users' platform, - for standard input."`
	Against string `help:"Version in force; the differences are shown, and the new version must be greater." type:"path"`
	Strict  bool   `help:"Unknown fields are errors."`
}

// Run checks the document.
func (c *checkCmd) Run(g *globals) error {
	raw, err := readInput(c.File)
	if err != nil {
		return &operate.ExitError{Code: exitUnreadable, Err: err}
	}
	var inForce []byte
	if c.Against != "" {
		if inForce, err = os.ReadFile(c.Against); err != nil {
			return &operate.ExitError{Code: exitUnreadable, Err: err}
		}
	}
	report, err := platform.CheckConfig(raw, inForce, c.Strict)
	if err != nil {
		return &operate.ExitError{Code: exitUnreadable, Err: err}
	}
	if err := g.print(report); err != nil {
		return &operate.ExitError{Code: exitUnreadable, Err: err}
	}
	if report.Errors > 0 {
		return &operate.ExitError{Code: exitFindings}
	}
	return nil
}

func readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}
