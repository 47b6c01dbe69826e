package matrix

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// Cell is an entry of the matrix: one fault at one step.
type Cell struct {
	Step  Step
	Fault Fault
}

// String returns "step/fault".
func (c Cell) String() string { return string(c.Step) + "/" + string(c.Fault) }

// Cells returns all cells, ordered by step.
func Cells() []Cell {
	var out []Cell
	for _, s := range Steps {
		for _, f := range Faults {
			out = append(out, Cell{Step: s, Fault: f})
		}
	}
	return out
}

// Stats counts the results of a run, which show whether the run of a cell exercised the system.
type Stats struct {
	Requests, Done, NotRun, Unknown, Lost int // requests by their last answer; Lost had none
	KeysRun                               int
	StoreCalls                            int
	Injected                              bool
	Refused                               map[wire.Code]int
}

// String returns the counts on one line.
func (s Stats) String() string {
	return fmt.Sprintf("requests %d done %d not-run %d unknown %d lost %d keys run %d store calls %d refusals %v injected %v",
		s.Requests, s.Done, s.NotRun, s.Unknown, s.Lost, s.KeysRun, s.StoreCalls, s.Refused, s.Injected)
}

// Stats returns the counts of the run so far.
func (w *World) Stats() Stats {
	s := Stats{StoreCalls: w.store.calls, KeysRun: len(w.check.runsOfKey), Injected: w.Injected(), Refused: map[wire.Code]int{}}
	for _, req := range w.callers.requests {
		s.Requests++
		last := req.attempts[len(req.attempts)-1]
		switch {
		case !last.answered:
			s.Lost++
		case last.result.Outcome == wire.OutcomeDone:
			s.Done++
		case last.result.Outcome == wire.OutcomeNotRun:
			s.NotRun++
		default:
			s.Unknown++
		}
		if last.answered && last.result.Refusal != nil {
			s.Refused[last.result.Refusal.Code]++
		}
	}
	return s
}

// SetTrace makes the run call f with a line for each traced event.
func (w *World) SetTrace(f func(string)) { w.trace = f }

// CellSetup returns the set-up of a cell's run. The seed determines how often the step is reached before the fault is
// injected. Engines ignore fencing numbers with every other seed.
func CellSetup(c Cell, seed uint64) Setup {
	return setup(seed, Injection{Step: c.Step, Fault: c.Fault, Nth: nth(c.Step, seed)})
}

// RunCell runs one cell.
func RunCell(c Cell, seed uint64, defects Defects) (Stats, error) {
	s := CellSetup(c, seed)
	s.Defects = defects
	return run(seed, s)
}

// rareSteps is how often a run without faults reaches each of the steps that it reaches only a few times.
var rareSteps = map[Step]uint64{StepAccept: 3, StepSpread: 2, StepClaim: 2, StepGrant: 3, StepDrain: 1, StepRelease: 1}

// nth returns the occurrence of the step at which the fault is injected, counted from 0.
func nth(s Step, seed uint64) int {
	times := uint64(7)
	if n, ok := rareSteps[s]; ok {
		times = n
	}
	return int(seed % times)
}

// PairSetup returns the set-up of a run with two faults. The two cells may be the same.
func PairSetup(a, b Cell, seed uint64) Setup {
	first, second := nth(a.Step, seed), nth(b.Step, seed+1)
	return setup(seed, Injection{Step: a.Step, Fault: a.Fault, Nth: first}, Injection{Step: b.Step, Fault: b.Fault, Nth: second})
}

// RunPair runs two cells in one run.
func RunPair(a, b Cell, seed uint64) (Stats, error) { return run(seed, PairSetup(a, b, seed)) }

// Parse returns the set-up for the name of a cell ("step/fault") or a pair ("step/fault+step/fault").
func Parse(name string, seed uint64) (Setup, error) {
	var cells []Cell
	for _, part := range strings.Split(name, "+") {
		step, fault, _ := strings.Cut(part, "/")
		c := Cell{Step: Step(step), Fault: Fault(fault)}
		if !slices.Contains(Cells(), c) {
			return Setup{}, fmt.Errorf("no cell %q; a cell is step/fault, a pair step/fault+step/fault", part)
		}
		cells = append(cells, c)
	}
	switch len(cells) {
	case 1:
		return CellSetup(cells[0], seed), nil
	case 2:
		return PairSetup(cells[0], cells[1], seed), nil
	}
	return Setup{}, fmt.Errorf("%q names more than two cells", name)
}

func setup(seed uint64, in ...Injection) Setup {
	s := Setup{Injections: in, IgnoreFence: seed%2 == 0}
	for _, i := range in {
		s.IgnoreFence = s.IgnoreFence || i.Fault == FaultNoFence
	}
	return s
}

func run(seed uint64, s Setup) (Stats, error) {
	w := NewWorld(seed, s)
	err := w.Run()
	return w.Stats(), err
}
