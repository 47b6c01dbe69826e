// Command world3 plays the scripts of review/11 to review/15: it starts the daemon as the deploy file does, with small
// stand-ins for the platform's store, the runners and the clients, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var cases = map[string]func(*world) (broken int, err error){
	"deadline": caseDeadline,
	"reused":   caseReused,
	"restart":  caseRestart,
	"leak":     caseLeak,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		serveRunner(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world3 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = record.Close() }()
	w := newWorld(record, os.Getenv("TROUBLE") != "0")
	defer w.close()
	broken, err := cases[name](w)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken > 0:
		w.note("RULE BROKEN %d times", broken)
		return exitBroken
	}
	w.note("the rule held")
	return exitHeld
}
