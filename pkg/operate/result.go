package operate

import (
	"fmt"
	"strings"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
)

// Outcome is how an apply ended.
type Outcome string

// Outcomes of an apply.
const (
	// OutcomePublished means that the document is active under Result.Version.
	OutcomePublished Outcome = "published"
	// OutcomeUnchanged means that the document was already active under Result.Version.
	OutcomeUnchanged Outcome = "unchanged"
	// OutcomeLostRace means that another document was published as the next version; nothing of this one is active.
	OutcomeLostRace Outcome = "lost-race"
	// OutcomeTimedOut means that the time ran out before the publication; lowered ceilings stay.
	OutcomeTimedOut Outcome = "timed-out"
	// OutcomeUnknown means that the time ran out before the outcome of the publication was resolved.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that a stored object could not be decoded; see Result.Error.
	OutcomeFailed Outcome = "failed"
)

// Result is how an apply ended.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Version is the last known version of the active configuration, 0 for none.
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Base and RequestedDigest identify the document that was to be applied: the version it was made from, and its digest.
	Base            uint64 `json:"base"`
	RequestedDigest string `json:"given"`
	// ActiveDocument is the active document after a lost race.
	ActiveDocument *config.Document `json:"-"`
	// Changes lists the changes from the active document to the one that was to be applied, after a lost race.
	Changes []config.Change `json:"changes,omitempty"`
	// Lowered lists the models whose ceilings were lowered or were about to be, if the document was not published.
	Lowered []string `json:"lowered,omitempty"`
	// Holders lists the VMs that still have grants beyond the new ceilings, by model.
	Holders map[string][]string `json:"holders,omitempty"`
	// NotRaised lists the models whose ceilings were still to be raised when the time ran out. Agents raise them when they
	// use the models, and so does the same apply if it is run again.
	NotRaised []string `json:"notRaised,omitempty"`
	// Stricter lists the models whose ceilings a later apply, finished or not, has set below this document's limits.
	Stricter []string `json:"stricter,omitempty"`
	// Error is the error of the last call, if the apply did not continue after it.
	Error string `json:"error,omitempty"`
}

// Result returns how the apply ended. It is valid once Next returns nil.
func (a *Apply) Result() Result {
	r := a.result
	r.Base, r.RequestedDigest = a.base, a.doc.Digest
	if r.Outcome != OutcomeLostRace {
		return r
	}
	var activeConfig *config.Config
	if a.activeEnvelope.Version > 0 {
		d, err := a.activeEnvelope.Document()
		if err != nil {
			r.Error = err.Error()
			return r
		}
		r.ActiveDocument, activeConfig = d, d.Config
	}
	r.Changes = config.Diff(activeConfig, a.doc.Config)
	return r
}

func (a *Apply) finishPublish(version uint64, outcome Outcome) {
	a.stamp.Version = version
	a.writeNext = false
	a.result = Result{Outcome: outcome, Version: version, Digest: a.doc.Digest}
	a.phase, a.pause = phaseListToRaise, false
}

func (a *Apply) finishLostRace(theirs config.Envelope) {
	a.activeEnvelope = theirs
	a.result = Result{Outcome: OutcomeLostRace, Version: theirs.Version, Digest: theirs.Digest, Lowered: a.lowered}
	a.phase = phaseDone
}

func (a *Apply) fail(err error) {
	if a.result.Outcome == "" {
		a.result = Result{Outcome: OutcomeFailed, Version: a.base, Lowered: a.lowered}
	}
	a.result.Error = err.Error()
	a.phase = phaseDone
}

// Expire ends the apply because its time has run out. Objects that were written stay.
func (a *Apply) Expire() {
	switch a.phase {
	case phaseDone:
		return
	case phaseListToRaise, phaseRaise:
		a.result.NotRaised = a.pending
	case phasePublish, phaseResolve:
		a.result = Result{Outcome: OutcomeUnknown, Version: a.base, Lowered: a.lowered}
	default:
		a.result = Result{Outcome: OutcomeTimedOut, Version: a.base, Lowered: a.lowered, Holders: a.blockingHolders()}
	}
	if a.lastErr != nil {
		a.result.Error = a.lastErr.Error()
	}
	a.phase = phaseDone
}

func (a *Apply) blockingHolders() map[string][]string {
	out := map[string][]string{}
	for model, vms := range a.holders {
		if len(vms) > 0 {
			out[model] = vms
		}
	}
	return out
}

// Text returns the result in human-readable form.
func (r Result) Text() string {
	var b strings.Builder
	switch r.Outcome {
	case OutcomePublished:
		fmt.Fprintf(&b, "published version %d, digest %s\n", r.Version, r.Digest)
	case OutcomeUnchanged:
		fmt.Fprintf(&b, "unchanged: version %d has this document already, digest %s\n", r.Version, r.Digest)
	case OutcomeLostRace:
		fmt.Fprintf(&b, "lost race; nothing of this document is in force\ntheirs: version %d, digest %s\nyours:  made from version %d, digest %s\n", r.Version, r.Digest, r.Base, r.RequestedDigest)
		b.WriteString("changes from the document in force to the one given:\n" + ChangesText(r.Changes))
	case OutcomeTimedOut:
		fmt.Fprintf(&b, "timed out before the publication; nothing of this document is in force\n")
	case OutcomeUnknown:
		fmt.Fprintf(&b, "timed out while publishing; version %d or its successor is in force; run get to see\n", r.Version)
	case OutcomeFailed:
		b.WriteString("failed; nothing was published\n")
	}
	r.details(&b)
	return b.String()
}

func (r Result) details(b *strings.Builder) {
	for _, model := range sortedKeys(r.Holders) {
		fmt.Fprintf(b, "model %s: still held beyond the new limit by %s\n", model, strings.Join(r.Holders[model], ", "))
	}
	if len(r.Lowered) > 0 && r.Outcome != OutcomePublished && r.Outcome != OutcomeLostRace {
		fmt.Fprintf(b, "the stricter limits stay for %s until a configuration is applied\n", strings.Join(r.Lowered, ", "))
	}
	if len(r.NotRaised) > 0 {
		fmt.Fprintf(b, "not raised yet: %s; agents raise them on use, or run the same apply again\n", strings.Join(r.NotRaised, ", "))
	}
	if len(r.Stricter) > 0 {
		fmt.Fprintf(b, "a later apply has set stricter limits for %s\n", strings.Join(r.Stricter, ", "))
	}
	if r.Error != "" {
		fmt.Fprintf(b, "last error: %s\n", r.Error)
	}
}

// ChangesText returns the changes, one per line.
func ChangesText(changes []config.Change) string {
	if len(changes) == 0 {
		return "  no differences\n"
	}
	var b strings.Builder
	for _, c := range changes {
		switch c.Kind {
		case config.Added:
			fmt.Fprintf(&b, "  + %s = %+v\n", c.Path, c.New)
		case config.Removed:
			fmt.Fprintf(&b, "  - %s = %+v\n", c.Path, c.Old)
		case config.Changed:
			fmt.Fprintf(&b, "  ~ %s: %v -> %v\n", c.Path, c.Old, c.New)
		}
	}
	return b.String()
}
