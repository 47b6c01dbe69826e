// Package account reads the request lines of entry processes and attributes the requests that were not answered on time
// to causes.
package account

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// Record is one request line. Durations count from the arrival of the request; those that do not apply are negative.
type Record struct {
	ID, Route, Model, Outcome, Reason, VM, Upstream string
	Status, Priority, Runs, Attempts, Uncached      int
	// Cached is the number of prompt tokens that were expected to be cached at the upstream, and CachedSeen that which the
	// first event showed; -1 if it showed nothing.
	Cached, CachedSeen int
	// Detour is the time that the prefill was expected to take longer than where most of the prompt was cached.
	Detour time.Duration
	// Arrived is the time of day of the arrival, since midnight.
	Arrived time.Duration
	Took    time.Duration
	// Target and MaxGap are the route's longest times to the answer or first event and between two events.
	Target, MaxGap time.Duration
	// ForReports, ForModel, ForAdapter and ForPrefill are the times that the request waited before it was sent.
	ForReports, ForModel, ForAdapter, ForPrefill time.Duration
	// Expected is the expected time from the last attempt to the first event.
	Expected                         time.Duration
	Sent, FirstEvent, Pause, PauseAt time.Duration
}

// maxLineBytes bounds a line of the log.
const maxLineBytes = 1 << 20

// timeField begins the part of a line that the process wrote; log collectors put their own text before it.
var timeField = []byte("time=")

// Read returns the request lines of a log with the lines of any number of processes. Other lines are ignored.
func Read(r io.Reader) ([]Record, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var out []Record
	for lines.Scan() {
		at := bytes.Index(lines.Bytes(), timeField)
		if at < 0 {
			continue
		}
		if rec, ok := parse(lines.Bytes()[at:]); ok {
			out = append(out, rec)
		}
	}
	return out, fault.Wrap(lines.Err(), fault.StepSettings, "", "read log")
}

// timeOfDay is the layout of the time of a line.
const timeOfDay = "15:04:05.000"

// parse returns the record of a request line; ok is false for other lines, also for malformed ones.
func parse(line []byte) (rec Record, ok bool) {
	fields := map[string]string{}
	d := logfmt.NewDecoder(bytes.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	at, err := time.Parse(timeOfDay, fields["time"])
	if d.Err() != nil || err != nil || fields["msg"] != "request" {
		return Record{}, false
	}
	number := func(name string) int {
		n, err := strconv.Atoi(fields[name])
		if err != nil {
			return -1
		}
		return n
	}
	ms := func(name string) time.Duration { return time.Duration(number(name)) * time.Millisecond }
	rec = Record{
		ID: fields["id"], Route: fields["route"], Model: fields["model"], Outcome: fields["outcome"], Reason: fields["reason"], VM: fields["vm"], Upstream: fields["upstream"],
		Status: number("status"), Priority: number("priority"), Runs: number("runs"), Attempts: number("sends"), Uncached: number("uncached"),
		Took: ms("took_ms"), Target: ms("target_ms"), MaxGap: ms("gap_ms"), ForReports: ms("reports_ms"), ForModel: ms("model_ms"), ForAdapter: ms("adapter_ms"), ForPrefill: max(0, ms("prefill_ms")),
		Expected: ms("cost_ms"), Sent: ms("sent_ms"), FirstEvent: ms("first_ms"), Pause: ms("pause_ms"), PauseAt: ms("pause_at_ms"),
	}
	rec.Cached, rec.CachedSeen, rec.Detour = number("cached"), number("cached_seen"), max(0, ms("detour_ms"))
	midnight := time.Date(at.Year(), at.Month(), at.Day(), 0, 0, 0, 0, at.Location())
	rec.Arrived = at.Sub(midnight) - rec.Took
	return rec, true
}
