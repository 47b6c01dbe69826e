package matrix

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/agent"
	"github.com/hibiscuscross/hibiscuscross/pkg/stream"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// dialTimeout is the time after which a dial to a dead or unreachable process fails.
const dialTimeout = time.Second

// conn is a connection between a router and an agent.
type conn struct {
	from         *routerNode
	to           *agentNode
	toGeneration int
	stalled      bool // neither end receives anything from the other
	dropped      bool
	streams      []*simStream
}

// usable reports whether the router may open a stream on the connection.
func (c *conn) usable() bool { return !c.dropped }

// simStream is the simulated stream of one request between a router and an agent.
type simStream struct {
	c       *conn
	id      uint64
	stalled bool
	closed  bool // no further frames are sent
	// receive handles the agent's frames at the router. A nil frame means that the stream has failed.
	receive func(wire.Message)
	delay   time.Duration // added to the latency of each frame
}

// open sends an Open frame to the agent, which registers the stream.
func (c *conn) open(o *wire.Open, receive func(wire.Message)) *simStream {
	st := &simStream{c: c, receive: receive}
	c.streams = append(c.streams, st)
	a := c.to
	if c.stalled || c.from.w.isPartitioned(c.from.name, a.name) || a.process.generation != c.toGeneration {
		return st
	}
	a.deliver(c.from.w.jitter(), func() {
		a.nextStream++
		st.id = a.nextStream
		a.streams[st.id] = st
		a.w.reached(StepAdmit, a.vm)
		frame := *o
		a.w.logf("%s receives %s attempt %d resume %v", a.vm, o.Request, o.Attempt, o.Resume)
		a.step(agent.Opened{Stream: st.id, Peer: c.from.addr(), Open: &frame})
		a.sendPings(st)
	})
	return st
}

// sendPings sends heartbeats until the stream ends.
func (a *agentNode) sendPings(st *simStream) {
	a.deliver(stream.PingInterval, func() {
		if st.closed {
			return
		}
		st.reply(&wire.Ping{Load: a.core.Load(), Sync: a.core.Sync()})
		a.sendPings(st)
	})
}

// reply sends a frame from the agent to the router.
func (st *simStream) reply(m wire.Message) {
	if st.closed {
		return
	}
	w, r := st.c.from.w, st.c.from
	if st.stalled || st.c.stalled || w.isPartitioned(r.name, st.c.to.name) {
		return
	}
	d := latency + st.delay
	if w.now.Before(w.misdeliverUntil) {
		w.misdeliver(st, m)
	}
	r.deliver(d, func() { st.receive(m) })
}

// end closes the stream at the agent after its last frame.
func (st *simStream) end() {
	st.closed = true
	a := st.c.to
	a.send(0, agent.Closed{Stream: st.id})
	delete(a.streams, st.id)
}

// drop makes the agent abort the stream without a last frame.
func (st *simStream) drop() {
	if st.closed {
		return
	}
	st.closed = true
	st.c.from.deliver(latency, func() { st.receive(nil) })
	st.c.to.send(0, agent.Closed{Stream: st.id})
	delete(st.c.to.streams, st.id)
}

// reset makes the router abort the stream.
func (st *simStream) reset() {
	if st.closed {
		return
	}
	a := st.c.to
	if st.stalled || st.c.stalled || a.process.generation != st.c.toGeneration {
		// The agent detects the abort by its write timeout, within 10 s.
		a.deliver(10*time.Second, func() { a.closeStream(st) })
		st.receive = func(wire.Message) {}
		return
	}
	st.receive = func(wire.Message) {}
	a.deliver(latency, func() { a.closeStream(st) })
}

// cancel sends a Cancel frame to the agent and ends the stream.
func (st *simStream) cancel() {
	a := st.c.to
	if st.closed || st.stalled || st.c.stalled {
		return
	}
	st.receive = func(wire.Message) {}
	a.deliver(latency, func() {
		a.step(agent.Cancelled{Stream: st.id})
		a.closeStream(st)
	})
}

// closeStream makes the agent handle the loss of a stream, unless the stream has ended.
func (a *agentNode) closeStream(st *simStream) {
	if a.streams[st.id] != st {
		return
	}
	st.closed = true
	delete(a.streams, st.id)
	a.step(agent.Closed{Stream: st.id})
}

// interrupt closes a connection at both ends.
func (c *conn) interrupt() {
	c.dropped = true
	for _, st := range c.streams {
		if st.closed {
			continue
		}
		receive := st.receive
		c.from.deliver(latency, func() { receive(nil) })
		c.to.deliver(latency, func() { c.to.closeStream(st) })
	}
}

// dial connects to the agent and calls done with the connection, or with nil after dialTimeout.
func (r *routerNode) dial(a *agentNode, done func(*conn)) {
	if a == nil || !a.alive || a.stopped || r.w.now.Before(a.pausedUntil) || r.w.isPartitioned(r.name, a.name) {
		r.deliver(dialTimeout, func() { done(nil) })
		return
	}
	r.deliver(2*latency, func() { done(&conn{from: r, to: a, toGeneration: a.process.generation}) })
}
