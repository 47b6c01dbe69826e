package operate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// Text returns the status in human-readable form.
func (st Status) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "configuration: version %d, digest %s\n", st.Version, st.Digest)
	w := tabwriter.NewWriter(&b, 0, 8, 2, ' ', 0)
	st.writeTables(w)
	_ = w.Flush() // writing to a strings.Builder does not fail
	for _, p := range st.Processes {
		if p.Error == "" {
			fmt.Fprintf(&b, "\nprocess %s:\n%s", p.Addr, fields(p.Response))
		}
	}
	for _, p := range st.Problems {
		fmt.Fprintf(&b, "problem: %s\n", p)
	}
	return b.String()
}

func (st Status) writeTables(w io.Writer) {
	fmt.Fprintln(w, "\nMODEL\tLIMIT\tCEILING\tSET BY\tHOLDERS")
	for _, m := range st.Models {
		holders := append([]string(nil), m.Holders...)
		for i := range holders {
			if i >= m.Ceiling {
				holders[i] += " (to release)"
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\n", m.Model, m.MaxReplicas, m.Ceiling, m.Stamp.Version, orNone(holders))
	}
	fmt.Fprintln(w, "\nUPSTREAM\tGROUP\tREGION\tZONE\tSTATE\tGRANTS")
	for _, u := range st.Upstreams {
		state := "live"
		if u.Draining {
			state = "draining"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", u.VM, u.Group, u.Region, u.Zone, state, orNone(u.Grants))
	}
	fmt.Fprintln(w, "\nSERVICE\tOWNER\tKEY SLOTS")
	for _, o := range st.Owners {
		fmt.Fprintf(w, "%s\t%s\t%d\n", o.Service, orNone([]string{o.VM}), o.Slots)
	}
	fmt.Fprintln(w, "\nREFUSED FINGERPRINT\tSINCE\tREASON")
	for _, q := range st.Quarantined {
		fmt.Fprintf(w, "%s\t%s\t%s\n", q.Fingerprint, q.Since.Format(time.RFC3339), q.Reason)
	}
	fmt.Fprintln(w, "\nPROCESS\tVM\tVERSION\tSTATE")
	for _, p := range st.Processes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", p.Addr, orNone([]string{p.VM}), p.Version, p.state(st.Version))
	}
}

// state compares the version of the process with the active one.
func (p ProcessStatus) state(activeVersion uint64) string {
	switch {
	case p.Error != "":
		return "not asked: " + p.Error
	case p.Version < activeVersion:
		return fmt.Sprintf("behind version %d", activeVersion)
	case p.Version > activeVersion:
		return "ahead of what was read from the object API"
	}
	return "in force"
}

func orNone(list []string) string {
	if s := strings.Join(list, ", "); s != "" {
		return s
	}
	return "none"
}

// fields returns the top-level fields of a JSON object, sorted, one per line.
func fields(raw json.RawMessage) string {
	var object map[string]json.RawMessage
	if json.Unmarshal(raw, &object) != nil {
		return "  " + string(raw) + "\n"
	}
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		var compact bytes.Buffer
		if json.Compact(&compact, object[name]) != nil {
			continue
		}
		fmt.Fprintf(&b, "  %s: %s\n", name, compact.String())
	}
	return b.String()
}
