package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform/standin"
)

// Forms in which a stream breaks rule ORDER.
const (
	pieceMissing = "a piece is missing"
	pieceTwice   = "a piece comes twice"
	runsJoined   = "pieces of two runs are joined"
	endsEarly    = "complete before the last piece"
)

// maxResumptions is the number of times a caller resumes a broken stream.
const maxResumptions = 2

// piece is an event as a caller has read it: its number and the run that wrote it.
type piece struct {
	number int
	run    string
}

// readPieces returns the complete events of an answer to the request id. foreign is the first one that is no event of
// its runs, rest what follows the last complete event.
func readPieces(id, answer string) (pieces []piece, foreign, rest string) {
	for {
		text, after, ok := strings.Cut(answer, "\n\n")
		if !ok {
			return pieces, "", answer
		}
		p := piece{}
		if _, err := fmt.Sscanf(text, "id: %d\ndata: "+id+" ", &p.number); err == nil {
			p.run = text[strings.LastIndexByte(text, ' ')+1:]
		}
		if text+"\n\n" != standin.Event(p.number, id, p.run, "") {
			return pieces, text, after
		}
		pieces, answer = append(pieces, p), after
	}
}

// orderForm returns the form in which the answer to a request for the events from+1 to last breaks rule ORDER, or "".
// A run that goes on at the next event is permitted on resumable routes.
func orderForm(pieces []piece, from, last int, resumable, complete bool) string {
	next := from + 1
	for i, p := range pieces {
		switch {
		case p.number < next:
			return pieceTwice
		case i > 0 && p.run != pieces[i-1].run && (!resumable || standin.FirstOfRun(p.run) > next):
			return runsJoined
		case p.number > next || p.number > last:
			return pieceMissing
		}
		next++
	}
	if complete && next <= last {
		return endsEarly
	}
	return ""
}

// streamRecord is what both ends of a stream have seen.
type streamRecord struct {
	Seed              uint64
	ID, Kind, Resumed string // Resumed is the request whose broken stream this one goes on with
	Entry, From, Last int
	Sent, Ended       time.Time
	Rule, Detail      string
	Read              []string // runs of pieces, each as RUN FIRST..LAST
	Rest              string   // bytes after the last complete piece
	Complete          bool
	Error             string
	Runs              []standin.StreamRun
}

// checkStream checks the events of an answer and returns the number of the last one that the caller has read in order.
func (c *caller) checkStream(r *request, answer string, err error) int {
	pieces, foreign, rest := readPieces(r.id, answer)
	rule, detail := "order", orderForm(pieces, r.from, r.events, c.world.shape.resumable(r.kind), err == nil)
	switch {
	case foreign != "":
		rule, detail = "mixed", fmt.Sprintf("%q is no event of this stream", foreign)
	case detail == "" && err == nil && rest != "":
		rule, detail = "mixed", fmt.Sprintf("%q follows the last event", rest)
	}
	if detail == "" {
		return r.from + len(pieces)
	}
	rec := &streamRecord{Seed: c.world.options.Seed, ID: r.id, Kind: r.kind, Resumed: r.resumed, Entry: r.entry, From: r.from, Last: r.events,
		Sent: r.start, Ended: time.Now(), Rule: rule, Detail: detail, Rest: rest, Complete: err == nil, Error: fmt.Sprint(err)}
	for i, first := 0, 0; i < len(pieces); i++ {
		if i+1 == len(pieces) || pieces[i+1].run != pieces[i].run || pieces[i+1].number != pieces[i].number+1 {
			rec.Read = append(rec.Read, fmt.Sprintf("%s %d..%d", pieces[first].run, pieces[first].number, pieces[i].number))
			first = i + 1
		}
	}
	c.world.check.recordViolation(rule, fmt.Sprintf("%s %s: %s; read %v of %d", r.kind, r.id, detail, rec.Read, r.events))
	c.world.check.recordStream(rec)
	return r.from + len(pieces)
}

// resume sends the rest of a broken stream, of which the caller has read the events up to last, to another entry.
func (c *caller) resume(r *request, last int) {
	if !c.world.shape.CallersResume || !c.world.shape.resumable(r.kind) || last == 0 || last >= r.events || r.resumptions == maxResumptions {
		return
	}
	next := *r
	next.resumptions, next.resumed, next.from = r.resumptions+1, r.id, last
	next.id = fmt.Sprintf("%s-r%d", strings.TrimSuffix(r.id, fmt.Sprintf("-r%d", r.resumptions)), next.resumptions)
	for step := range len(c.clients) {
		if next.entry = (r.entry + 1 + step) % len(c.clients); c.inRotation(next.entry) {
			c.exchange(&next)
			return
		}
	}
}

func (c *checker) recordStream(r *streamRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams = append(c.streams, r)
}

func (c *checker) recordStreamRun(r standin.StreamRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streamRuns[r.ID] = append(c.streamRuns[r.ID], r)
}

// writeStreams writes the records of the streams that broke a rule to a file in dir, one line each.
func (c *checker) writeStreams(dir string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams) == 0 {
		return nil
	}
	f, err := os.Create(filepath.Join(dir, "streams.jsonl"))
	if err != nil {
		return fmt.Errorf("write records of streams: %w", err)
	}
	enc := json.NewEncoder(f)
	for _, r := range c.streams {
		r.Runs = c.streamRuns[r.ID]
		err = errors.Join(err, enc.Encode(r))
	}
	return errors.Join(err, f.Close())
}
