//go:build review

// Command world2 plays the cases of a review with the project's programs as processes on loopback addresses. Clients,
// runners and the platform are stand-ins.
package main

import (
	"errors"
	"fmt"
	"os"
)

// cases are the cases by name.
var cases = map[string]func(*world) error{
	"restarted-answer": restartedAnswer,
	"cut-failure":      cutFailure,
	"reused-address":   reusedAddress,
	"uneven-events":    unevenEvents,
	"crashing-request": crashingRequest,
	"left-again":       leftAgain,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		os.Exit(runRunner(os.Args[2:]))
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world2 CASE RECORD DAEMON")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit status: 1 if a rule was broken, 0 if it held, 2 if the case could not run.
func play(name, record, daemon string) int {
	w, err := newWorld(record, daemon, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	go w.endEarly()
	w.note("case %s, trouble %t", name, w.trouble)
	if err := cases[name](w); err != nil {
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		if errors.As(err, &errCouldNotRun{}) || len(w.broken) == 0 {
			return 2
		}
	}
	for _, b := range w.broken {
		fmt.Println(b)
	}
	if len(w.broken) > 0 {
		return 1
	}
	fmt.Println("no rule was broken")
	return 0
}
