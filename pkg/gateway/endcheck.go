package gateway

import (
	"errors"
	"syscall"
	"time"

	"github.com/hibiscuscross/hibiscuscross/platform"
)

const (
	// endProofTime is how long after the end of an answer its upstream must still reply. A process that ends in steps
	// replies while the answers that it has broken off are already closed, for up to some 200 ms. No query is sent before:
	// it would prove nothing, and engines take few connections.
	endProofTime = 250 * time.Millisecond
	// proofReserve is the time before the deadline that is set aside for the query at the end of the proof time and for the
	// way to the caller.
	proofReserve = 50 * time.Millisecond
	// stallTime is how much longer than expected a step of the check takes if the router has not run meanwhile, and maxStalls
	// bounds how often the check goes on for it.
	stallTime = 300 * time.Millisecond
	maxStalls = 3
	// endQueryInterval is the time between a query without a reply and the next one.
	endQueryInterval = 100 * time.Millisecond
	// endCheckLimit bounds the check of a stream. It leaves a VM that stands still, or an engine that refuses connections
	// because it has too many, some time. Another answer leaves its first query instanceQueryTimeout.
	endCheckLimit = 1200 * time.Millisecond
	// minRemoval is the time that an upstream which is removed at short notice must have left. It ends whatever it is
	// running, its streams first.
	minRemoval = 500 * time.Millisecond
	// deadlineMargin is the time before the deadline of a request in which the end of its answer is taken for the work of
	// the upstream's own timer. The upstream is given the time that is left in whole milliseconds, rounded down, and counts
	// it from the arrival of the request, so its timer is early by less than 1 ms, a tick of its clock (up to 16 ms) and the
	// drift of that. A router that gets no processor time sees the end later, never earlier.
	deadlineMargin = 20 * time.Millisecond
	// maxPastDeadline is how long the check may go on after the deadline of the request.
	maxPastDeadline = 200 * time.Millisecond
)

// endVerdict is what is known of an answer that has ended with its connection.
type endVerdict int

const (
	endOpen endVerdict = iota
	endComplete
	endBrokenOff
	// endAtDeadline means that the upstream may have stopped work because the time of the request was up.
	endAtDeadline
)

// endCheck decides whether an answer that has ended with its connection is complete, by the replies of its upstream.
// An upstream that replies proof after the end has not ended with the answer.
type endCheck struct {
	proof, limit time.Duration // from the end of the answer on
	streamed     bool
	left         time.Duration // until the deadline, at the end of the answer
	stalls       int
	// id is that of the request and events the number of events that have arrived, if the upstream's count of them can be
	// compared; otherwise id is empty.
	id     string
	events int
}

// newEndCheck returns the check of an answer whose request has the time left.
func newEndCheck(streamed bool, left time.Duration) endCheck {
	e := endCheck{proof: endProofTime, streamed: streamed, left: left}
	e.proof = min(e.proof, max(left-proofReserve, 0)) // an end after the deadline is of no use to the caller
	e.limit = e.limitFrom(0)
	return e
}

// firstVerdict returns the verdict before any query. An upstream that stops work at the deadline lives on, so its replies show
// nothing.
func (e endCheck) firstVerdict() endVerdict {
	if e.left <= deadlineMargin {
		return endAtDeadline
	}
	return endOpen
}

// limitFrom returns the limit of a check that starts at the time after the end.
func (e endCheck) limitFrom(now time.Duration) time.Duration {
	if !e.streamed {
		return now + endProofTime + instanceQueryTimeout
	}
	return now + min(endCheckLimit, max(e.left-now+maxPastDeadline, endProofTime+endQueryInterval))
}

// recordStep records a wait or a query that ended at the time now after the end, took the time and was expected to take at most
// the other one. If the router has not run meanwhile, the limit starts again: a router that stood still has learned nothing.
func (e endCheck) recordStep(now, took, expected time.Duration) endCheck {
	if took > expected+stallTime && e.stalls < maxStalls {
		e.stalls++
		e.limit = e.limitFrom(now)
	}
	return e
}

// proofTime returns the proof, given whether there is a sign that the upstream is ending.
func (e endCheck) proofTime(ending bool) time.Duration {
	if ending {
		return endProofTime
	}
	return e.proof
}

// endSigns is what the router knows of the process that sent an answer, beside the replies to its queries.
type endSigns struct {
	// ending reports whether there is a sign that the upstream is ending.
	ending bool
	// replaced reports whether the list names a later start under its id, and witnessClosed whether the witness shows the end
	// of the process.
	replaced, witnessClosed bool
}

// judge returns the verdict after a query that was sent at the time after the end and that ended with the reply or err, and
// the time after the end of the next query if the verdict is open.
func (e endCheck) judge(sent, now time.Duration, reply platform.InstanceReply, signs endSigns, err error) (endVerdict, time.Duration) {
	proof := e.proofTime(signs.ending || reply.Leaving || reply.HasRemoval)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, platform.ErrOtherInstance):
		return endBrokenOff, 0
	case err != nil && now+endQueryInterval >= e.limit:
		return endBrokenOff, 0
	case err != nil:
		return endOpen, now + endQueryInterval
	case signs.replaced, signs.witnessClosed:
		return endBrokenOff, 0 // another process has replied
	case reply.HasRemoval && reply.Removal < minRemoval:
		return endBrokenOff, 0
	case e.id != "" && reply.Events[e.id] > e.events:
		return endBrokenOff, 0 // the connection was closed on the way
	case sent >= proof:
		return endComplete, 0
	}
	return endOpen, max(now, proof)
}

// endObserver is what a check learns from. Its times are since the router saw the end of the answer.
type endObserver interface {
	now() time.Duration
	// sleep waits for the duration, or until the process stops.
	sleep(time.Duration)
	query(timeout time.Duration) (platform.InstanceReply, error)
	signs() endSigns
	// stops reports whether the process stops, so that the check cannot go on.
	stops() bool
}

// run queries the upstream until there is a verdict, and returns it with the number of queries, the state of the check and
// the error of the last query.
func (e endCheck) run(o endObserver) (endVerdict, int, endCheck, error) {
	verdict, queries := e.firstVerdict(), 0
	var err error
	for next := e.proofTime(o.signs().ending); verdict == endOpen; {
		began := o.now()
		o.sleep(next - began)
		sent := o.now()
		e = e.recordStep(sent, sent-began, next-began)
		timeout := min(instanceQueryTimeout, e.limit-sent)
		queries++
		var reply platform.InstanceReply
		reply, err = o.query(timeout)
		replied := o.now()
		e = e.recordStep(replied, replied-sent, timeout)
		verdict, next = e.judge(sent, replied, reply, o.signs(), err)
		if verdict == endOpen && o.stops() {
			verdict = endBrokenOff
		}
	}
	return verdict, queries, e, err
}
