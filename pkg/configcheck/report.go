package configcheck

import (
	"fmt"
	"slices"
	"strings"
)

// Report is the result of a check as the command prints it.
type Report struct {
	Version uint64 `json:"version"`
	// InForce is the version that the document was compared with; nil if there was none.
	InForce  *uint64 `json:"inForce,omitempty"`
	Errors   int     `json:"errors"`
	Warnings int     `json:"warnings"`
	// Refused reports whether routers refuse the document.
	Refused  bool              `json:"refused"`
	Findings []ReportedFinding `json:"findings"`
	Changes  []ReportedChange  `json:"changes,omitempty"`
}

// ReportedFinding is a finding with its place in the file.
type ReportedFinding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	// Path is the JSON path of the value, which may be missing in the document. Line is that of the value or of its entry.
	Path    string `json:"path"`
	Line    int    `json:"line"`
	Message string `json:"message"`
	Refused bool   `json:"refused"`
}

// ReportedChange is a change with the name that the file has for its field.
type ReportedChange struct {
	Kind   string `json:"kind"`
	Name   string `json:"name,omitempty"`
	Action string `json:"action"`
	Field  string `json:"field,omitempty"`
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
}

// Add adds a finding with its path and line.
func (r *Report) Add(f Finding, message string) {
	if f.Severity == SeverityError {
		r.Errors++
	} else {
		r.Warnings++
	}
	r.Refused = r.Refused || f.Refused
	r.Findings = append(r.Findings, ReportedFinding{Severity: f.Severity, Code: f.Code, Path: f.Path, Line: f.Line, Message: message, Refused: f.Refused})
}

// Sort sorts the findings by line.
func (r *Report) Sort() {
	slices.SortStableFunc(r.Findings, func(a, b ReportedFinding) int { return a.Line - b.Line })
}

// Text returns the report in human-readable form, one finding or change in a line.
func (r *Report) Text() string {
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "line %d: %s %s: %s: %s\n", f.Line, f.Severity, f.Code, f.Path, f.Message)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(&b, "%s %s", c.Action, c.Kind)
		if c.Name != "" {
			fmt.Fprintf(&b, " %q", c.Name)
		}
		switch {
		case c.Action == Changed:
			fmt.Fprintf(&b, " %s: %s -> %s", c.Field, c.From, c.To)
		case c.From+c.To != "":
			fmt.Fprintf(&b, " with %s", c.From+c.To)
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "version %d: %s, %s", r.Version, count(r.Errors, "error"), count(r.Warnings, "warning"))
	if r.InForce != nil {
		fmt.Fprintf(&b, ", %s from version %d", count(len(r.Changes), "change"), *r.InForce)
	}
	if r.Refused {
		b.WriteString("; routers refuse it")
	}
	b.WriteByte('\n')
	return b.String()
}
