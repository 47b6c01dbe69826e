package policybench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/admission"
)

// Discipline is the rule by which an upstream serves its waiting requests.
type Discipline string

// Disciplines. All but DisciplineAdmission are baselines.
const (
	// DisciplineAdmission uses the queue of package admission.
	DisciplineAdmission Discipline = "admission"
	// DisciplineFirstCome serves in the order of arrival, refuses no request and runs every call to its end.
	DisciplineFirstCome Discipline = "first-come"
	// DisciplineFirstComeExpire also serves in the order of arrival, but drops expired requests and cancels late calls as
	// DisciplineAdmission does.
	DisciplineFirstComeExpire Discipline = "first-come, expiring"
)

// InTimeCondition is the condition for a request to count as answered in time.
type InTimeCondition string

// Conditions for an answer in time.
const (
	// InTimeComplete is for an answer that the router buffers until it is complete. A call is cancelled at its deadline.
	InTimeComplete InTimeCondition = "whole"
	// InTimeStarted is for a stream. The call has to start before the deadline and is not cancelled.
	InTimeStarted InTimeCondition = "begun"
)

const (
	queueSlots = 8
	// queueTick is the interval between two calls of Expire, as at an agent.
	queueTick = 100 * time.Millisecond
	// The run time of a call is the constant minCall plus an exponential part with the mean meanExtra, at most maxCall.
	minCall, meanExtra, maxCall = 500 * time.Millisecond, 1500 * time.Millisecond, 10 * time.Second
)

// queueClasses are the priority classes and their shares of the requests.
var queueClasses = []struct {
	priority int
	share    float64
}{{8, 0.2}, {5, 0.5}, {2, 0.3}}

// ClassResult is the result for the requests of one priority class.
type ClassResult struct {
	Requests, InTime int
	// LongestWait is the longest time from arrival to the start, the refusal or the expiry of a request.
	LongestWait time.Duration
	// LongestGap is the longest time between the starts of two successive calls of the class.
	LongestGap time.Duration
	lastStart  time.Duration
}

// Share returns the share of requests that were answered in time.
func (c ClassResult) Share() float64 { return float64(c.InTime) / max(1, float64(c.Requests)) }

// QueueResult is the result of a discipline at one upstream.
type QueueResult struct {
	Classes []ClassResult // as queueClasses, the highest priority first
	// Busy is the slot time in use, Wasted the part of it spent on calls that were not answered in time.
	Busy, Wasted time.Duration
	Refused      int // refused on arrival
}

// Total returns the sum over the classes.
func (r QueueResult) Total() ClassResult {
	var t ClassResult
	for _, c := range r.Classes {
		t.Requests, t.InTime = t.Requests+c.Requests, t.InTime+c.InTime
		t.LongestWait, t.LongestGap = max(t.LongestWait, c.LongestWait), max(t.LongestGap, c.LongestGap)
	}
	return t
}

// WastedShare returns the share of the busy time that was wasted.
func (r QueueResult) WastedShare() float64 { return r.Wasted.Seconds() / max(1e-9, r.Busy.Seconds()) }

func (r *QueueResult) add(o QueueResult) {
	if r.Classes == nil {
		r.Classes = make([]ClassResult, len(o.Classes))
	}
	for i, c := range o.Classes {
		t := &r.Classes[i]
		t.Requests, t.InTime = t.Requests+c.Requests, t.InTime+c.InTime
		t.LongestWait, t.LongestGap = max(t.LongestWait, c.LongestWait), max(t.LongestGap, c.LongestGap)
	}
	r.Busy, r.Wasted, r.Refused = r.Busy+o.Busy, r.Wasted+o.Wasted, r.Refused+o.Refused
}

type queueCall struct {
	at, deadline, service time.Duration
	class                 int
}

// callTime draws the run time of a call at speed 1.
func callTime(rng *rand.Rand) time.Duration {
	return min(maxCall, minCall+time.Duration(rng.ExpFloat64()*float64(meanExtra)))
}

// queueWorkload draws a Poisson process of calls at a multiple of the capacity of the upstream. In each class, half of
// the calls have a deadline of 5 to 15 s and half of 20 to 60 s.
func queueWorkload(load float64, seed uint64, length time.Duration) []queueCall {
	rng := rand.New(rand.NewPCG(seed, 13))
	gap := (minCall + meanExtra).Seconds() / (load * queueSlots)
	var out []queueCall
	for t := rng.ExpFloat64() * gap; t < length.Seconds(); t += rng.ExpFloat64() * gap {
		c := queueCall{at: time.Duration(t * float64(time.Second)), service: callTime(rng)}
		timeout := 5 + 10*rng.Float64()
		if rng.IntN(2) == 0 {
			timeout = 20 + 40*rng.Float64()
		}
		c.deadline = c.at + time.Duration(timeout*float64(time.Second))
		for u := rng.Float64(); c.class < len(queueClasses)-1 && u >= queueClasses[c.class].share; c.class++ {
			u -= queueClasses[c.class].share
		}
		out = append(out, c)
	}
	return out
}

// queueSim simulates one upstream.
type queueSim struct {
	eventQueue
	calls      []queueCall
	discipline Discipline
	inTime     InTimeCondition
	queue      *admission.Queue
	fifo       []int
	running    int
	result     QueueResult
}

// SimulateQueue runs a discipline on one upstream at a multiple of its capacity.
func SimulateQueue(d Discipline, t InTimeCondition, load float64, seed uint64, length time.Duration) QueueResult {
	s := &queueSim{calls: queueWorkload(load, seed, length), discipline: d, inTime: t, queue: admission.New(admission.DefaultLimits(), queueSlots)}
	s.result.Classes = make([]ClassResult, len(queueClasses))
	for i, c := range s.calls {
		s.at(c.at, func() { s.arrive(i) })
	}
	s.every(queueTick, length+2*time.Minute, s.expire)
	s.run()
	return s.result
}

func (s *queueSim) class(i int) *ClassResult { return &s.result.Classes[s.calls[i].class] }

// recordWaitEnd records the wait of a request that starts, expires or is refused.
func (s *queueSim) recordWaitEnd(i int) {
	c := s.class(i)
	c.LongestWait = max(c.LongestWait, s.now-s.calls[i].at)
}

func (s *queueSim) arrive(i int) {
	s.class(i).Requests++
	if s.discipline != DisciplineAdmission {
		s.fifo = append(s.fifo, i)
		s.serve()
		return
	}
	c := s.calls[i]
	r := admission.Request{ID: strconv.Itoa(i), Priority: queueClasses[c.class].priority, Deadline: epoch.Add(c.deadline)}
	if s.queue.Offer(s.time(), r, false, 0) != nil {
		s.result.Refused++
		s.recordWaitEnd(i)
	}
	s.serve()
}

func (s *queueSim) expire() {
	switch s.discipline {
	case DisciplineAdmission:
		for _, id := range s.queue.Expire(s.time().Add(queueTick)) {
			s.recordWaitEnd(requestIndex(id))
		}
	case DisciplineFirstComeExpire:
		kept := s.fifo[:0]
		for _, i := range s.fifo {
			if s.calls[i].deadline > s.now {
				kept = append(kept, i)
			} else {
				s.recordWaitEnd(i)
			}
		}
		s.fifo = kept
	}
}

func (s *queueSim) serve() {
	for {
		i, ok := s.next()
		if !ok {
			return
		}
		s.start(i)
	}
}

// next returns the call to start next, if a slot is free and a call waits.
func (s *queueSim) next() (int, bool) {
	if s.discipline == DisciplineAdmission {
		id, ok := s.queue.Next(s.time(), func(string) bool { return true })
		return requestIndex(id), ok
	}
	if s.discipline == DisciplineFirstComeExpire {
		s.expire()
	}
	if s.running >= queueSlots || len(s.fifo) == 0 {
		return 0, false
	}
	i := s.fifo[0]
	s.fifo = s.fifo[1:]
	return i, true
}

func (s *queueSim) start(i int) {
	s.recordWaitEnd(i)
	c, call := s.class(i), s.calls[i]
	c.LongestGap, c.lastStart = max(c.LongestGap, s.now-c.lastStart), s.now
	s.running++
	end := s.now + call.service
	inTime := end <= call.deadline || s.inTime == InTimeStarted && s.now <= call.deadline
	if !inTime && s.discipline != DisciplineFirstCome {
		end = max(s.now, call.deadline)
	}
	busy := end - s.now
	s.at(end, func() { s.finish(i, busy, inTime) })
}

func (s *queueSim) finish(i int, busy time.Duration, inTime bool) {
	s.running--
	s.result.Busy += busy
	if inTime {
		s.class(i).InTime++
	} else {
		s.result.Wasted += busy
	}
	s.queue.Done(s.time(), strconv.Itoa(i), inTime)
	s.serve()
}

// requestIndex returns the index in a request id, and 0 for an empty id.
func requestIndex(id string) int {
	i, _ := strconv.Atoi(id)
	return i
}
