package matrix

import (
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/agent"
	"github.com/hibiscuscross/hibiscuscross/pkg/stream"
	"github.com/hibiscuscross/hibiscuscross/pkg/wire"
)

// dialTimeout is when a dial to a dead or unreachable process fails.
const dialTimeout = time.Second

// conn is a connection between a router and an agent.
type conn struct {
	from    *routerNode
	to      *agentNode
	toGen   int
	silent  bool // neither end hears of the other again
	dropped bool
	streams []*simStream
}

// usable says that the router may open a stream on it.
func (c *conn) usable() bool { return !c.dropped }

// simStream is one request's stream.
type simStream struct {
	c      *conn
	id     uint64
	silent bool
	closed bool // no further frame is sent
	// receive gets the agent's frames at the router; a nil frame is the end of the stream by a failure.
	receive func(wire.Message)
	delay   time.Duration // extra delay of late frames
}

// open carries an Open frame to the agent and registers the stream there.
func (c *conn) open(o *wire.Open, receive func(wire.Message)) *simStream {
	st := &simStream{c: c, receive: receive}
	c.streams = append(c.streams, st)
	a := c.to
	if c.silent || c.from.w.isCut(c.from.name, a.name) || a.process.generation != c.toGen {
		return st
	}
	a.deliver(c.from.w.jitter(), func() {
		a.nextStream++
		st.id = a.nextStream
		a.streams[st.id] = st
		a.w.reached(StepAdmit, a.vm)
		frame := *o
		a.w.note("%s gets %s attempt %d resume %v", a.vm, o.Request, o.Attempt, o.Resume)
		a.step(agent.Opened{Stream: st.id, Peer: c.from.addr(), Open: &frame})
		a.ping(st)
	})
	return st
}

// ping sends signs of life until the stream ends.
func (a *agentNode) ping(st *simStream) {
	a.deliver(stream.PingInterval, func() {
		if st.closed {
			return
		}
		st.reply(&wire.Ping{Load: a.core.Load(), Sync: a.core.Sync()})
		a.ping(st)
	})
}

// reply carries a frame to the router.
func (st *simStream) reply(m wire.Message) {
	if st.closed {
		return
	}
	w, r := st.c.from.w, st.c.from
	if st.silent || st.c.silent || w.isCut(r.name, st.c.to.name) {
		return
	}
	d := latency + st.delay
	if w.now.Before(w.crossTill) {
		w.cross(st, m)
	}
	r.deliver(d, func() { st.receive(m) })
}

// end is the agent's end of the stream after its last frame.
func (st *simStream) end() {
	st.closed = true
	a := st.c.to
	a.send(0, agent.Closed{Stream: st.id})
	delete(a.streams, st.id)
}

// drop ends the stream from the agent's side without a last frame.
func (st *simStream) drop() {
	if st.closed {
		return
	}
	st.closed = true
	st.c.from.deliver(latency, func() { st.receive(nil) })
	st.c.to.send(0, agent.Closed{Stream: st.id})
	delete(st.c.to.streams, st.id)
}

// reset ends the stream from the router's side.
func (st *simStream) reset() {
	if st.closed {
		return
	}
	a := st.c.to
	if st.silent || st.c.silent || a.process.generation != st.c.toGen {
		// The agent finds out by its own time-outs of a write; it takes at most 10 s.
		a.deliver(10*time.Second, func() { a.lose(st) })
		st.receive = func(wire.Message) {}
		return
	}
	st.receive = func(wire.Message) {}
	a.deliver(latency, func() { a.lose(st) })
}

// cancel carries a Cancel frame to the agent.
func (st *simStream) cancel() {
	a := st.c.to
	if st.closed || st.silent || st.c.silent {
		return
	}
	st.receive = func(wire.Message) {}
	a.deliver(latency, func() {
		a.step(agent.Cancelled{Stream: st.id})
		a.lose(st)
	})
}

// lose tells the agent that a stream's connection is lost.
func (a *agentNode) lose(st *simStream) {
	if a.streams[st.id] != st {
		return
	}
	st.closed = true
	delete(a.streams, st.id)
	a.step(agent.Closed{Stream: st.id})
}

// cut ends a connection at both ends.
func (c *conn) cut() {
	c.dropped = true
	for _, st := range c.streams {
		if st.closed {
			continue
		}
		receive := st.receive
		c.from.deliver(latency, func() { receive(nil) })
		c.to.deliver(latency, func() { c.to.lose(st) })
	}
}

// dial connects to the agent or fails after dialTimeout.
func (r *routerNode) dial(a *agentNode, done func(*conn)) {
	if a == nil || !a.alive || a.stopped || r.w.now.Before(a.pausedTill) || r.w.isCut(r.name, a.name) {
		r.deliver(dialTimeout, func() { done(nil) })
		return
	}
	r.deliver(2*latency, func() { done(&conn{from: r, to: a, toGen: a.process.generation}) })
}
