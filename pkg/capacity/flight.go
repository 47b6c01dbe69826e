package capacity

import (
	"bytes"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscuscross/hibiscuscross/pkg/admission"
	"github.com/hibiscuscross/hibiscuscross/pkg/engine"
	"github.com/hibiscuscross/hibiscuscross/pkg/once"
	"github.com/hibiscuscross/hibiscuscross/pkg/quarantine"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// requestID is the request id of all samples.
const requestID = "0190a0b0-0000-7000-8000-000000000000"

// flightSeries returns the quantities that grow with the number of requests in flight.
func flightSeries() []Series {
	s := func(id, role, what, unit string, f func(n int) float64) Series {
		return Series{id, role, what, unit, "request in flight", flightSizes, f}
	}
	encodedSize := func(m wire.Message) func(n int) float64 {
		return func(n int) float64 { return float64(n * len(frame(m))) }
	}
	cpu := func(m wire.Message) func(n int) float64 {
		return func(n int) float64 { return cpuMicros(func() { exchange(n, m) }) }
	}
	sync, load := wire.Sync{ConfigVersion: 100000, QuarantineHash: 1 << 63}, wire.Load{Queued: 100, Running: 16, Slots: 16, PredictedWaitMS: 5000}
	ping := &wire.Ping{Load: load, Sync: sync}
	token := &wire.Data{Request: requestID, Attempt: 1, Offset: 4000, Bytes: bytes.Repeat([]byte("x"), 120)}
	return []Series{
		s("request.state", "router, agent", "reader and decoded Open of 2 KB", "B", func(n int) float64 {
			return heapBytes(func() any { return openRequests(n) })
		}),
		s("ping.bytes", "router, agent", "one Ping for each request", "B", encodedSize(ping)),
		s("ping.cpu", "router, agent", "encode and decode one Ping for each request", "µs", cpu(ping)),
		s("token.bytes", "router, agent", "one Data frame for each request, without its 120 B of payload", "B",
			func(n int) float64 { return float64(n * (len(frame(token)) - len(token.Bytes))) }),
		s("token.cpu", "router, agent", "encode and decode one Data frame for each request", "µs", cpu(token)),
		s("sync.bytes", "router, agent", "versions and load in Accept and End for each request", "B", func(n int) float64 {
			return float64(2 * n * len(must(cbor.Marshal(struct {
				Load wire.Load `cbor:"3,keyasint"`
				Sync wire.Sync `cbor:"4,keyasint"`
			}{load, sync}))))
		}),
		s("admission.state", "agent", "queue of waiting requests", "B", func(n int) float64 {
			return heapBytes(func() any { return newQueue(n) })
		}),
		s("admission.cpu", "agent", "offer and remove one request beside the waiting ones", "µs", func(n int) float64 {
			q, r := newQueue(n), admission.Request{ID: requestID, Deadline: epoch.Add(time.Hour), Bytes: 1}
			return cpuMicros(func() {
				if refused := q.Offer(epoch, r, false, 0); refused != nil {
					panic(refused.Reason)
				}
				q.Remove(r.ID)
			})
		}),
		s("quarantine.cpu", "agent", "begin and end one call beside the running ones", "µs", func(n int) float64 {
			q := quarantine.New()
			for i := range n {
				q.Begin(uint64(i))
			}
			return cpuMicros(func() {
				q.MayStart(1 << 63)
				q.Begin(1 << 63)
				q.End(1<<63, true)
			})
		}),
		s("once.state", "agent", "keys with answers of 200 B", "B", func(n int) float64 {
			return heapBytes(func() any { return newOnce(n) })
		}),
		s("once.cpu", "agent", "admit and abort one key beside the known ones", "µs", func(n int) float64 {
			o, c := newOnce(n), once.Call{Service: "orders", Caller: "caller", Key: requestID, Issued: epoch.Add(time.Hour)}
			return cpuMicros(func() {
				if v := o.Admit(epoch.Add(time.Hour), c, "run"); v.Decision != once.Start {
					panic(v.Decision)
				}
				o.Abort(c)
			})
		}),
		s("accept.cpu", "router, agent", "encode and decode Accept for each request", "µs", cpu(&wire.Accept{Request: requestID, Attempt: 1, Load: load, Sync: sync})),
		s("open.cpu", "router, agent", "encode and decode an Open of 2 KB for each request", "µs", cpu(openMessage())),
	}
}

// newQueue returns a queue with n waiting requests.
func newQueue(n int) *admission.Queue {
	q := admission.New(admission.Limits{Count: 2 * n, Bytes: 1 << 30}, 16)
	for i := range n {
		q.Requeue(epoch, admission.Request{ID: vm(i), Priority: i % 10, Deadline: epoch.Add(time.Hour), Bytes: 2048}, false)
	}
	return q
}

// newOnce returns the state of an agent that owns all key slots of a service and has answered n keyed calls.
func newOnce(n int) *once.State {
	o := once.New(vm(0), epoch, once.DefaultLimits())
	actions := o.Step(epoch, once.Services{Names: []string{"orders"}})
	actions = append(actions, o.Step(epoch, once.Members{Live: []string{vm(0)}})...)
	for version, now := uint64(0), epoch; o.OwnedSlots("orders") < once.Slots; now = now.Add(time.Second) {
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			switch a := a.(type) {
			case once.ReadOwners:
				actions = append(actions, o.Step(now, once.OwnersRead{Service: a.Service})...)
			case once.WriteOwners:
				version++
				actions = append(actions, o.Step(now, once.OwnersWritten{Service: a.Service, Expect: a.Expect, Version: version})...)
			}
		}
		actions = o.Step(now, once.Tick{})
	}
	for i := range n {
		c := once.Call{Service: "orders", Caller: "caller", Key: vm(i), Issued: epoch.Add(time.Hour)}
		if v := o.Admit(epoch.Add(time.Hour), c, vm(i)); v.Decision != once.Start {
			panic(v.Decision)
		}
		o.Finish(c, &once.Answer{Status: 200, Body: make([]byte, 200)})
	}
	return o
}

// openMessage returns an Open with a body of 2 KB.
func openMessage() *wire.Open {
	return &wire.Open{Request: requestID, Attempt: 1, Kind: wire.KindModel, Caller: "caller", Service: "service-1", Target: engine.Target{Model: "model-001", Adapter: "model-001-adapter-00001"},
		Method: "POST", Path: "/v1/chat/completions", Header: []engine.Header{{Name: "Content-Type", Value: "application/json"}}, Body: make([]byte, 2048), TimeoutMS: 10000, Priority: 5}
}

func frame(m wire.Message) []byte { return must(wire.Append(nil, m)) }

// exchange encodes and decodes m n times over one reader.
func exchange(n int, m wire.Message) {
	var stream bytes.Buffer
	r := wire.NewReader(&stream)
	var buf []byte
	for range n {
		buf = must(wire.Append(buf[:0], m))
		stream.Write(buf)
		must(r.Next())
	}
}

// request is the state of a request in flight.
type request struct {
	reader *wire.Reader
	open   wire.Message
}

func openRequests(n int) []request {
	encoded := frame(openMessage())
	out := make([]request, n)
	for i := range out {
		r := wire.NewReader(bytes.NewReader(encoded))
		out[i] = request{reader: r, open: must(r.Next())}
	}
	return out
}
