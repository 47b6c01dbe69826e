// Package soak runs the programs of the users' platform as processes on loopback, disturbs them from outside and checks
// what callers and runners see. It is never linked into the daemon.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to the bytes of its connections.
type Mode int

// Modes of a proxy.
const (
	// Pass forwards bytes.
	Pass Mode = iota
	// Delay forwards bytes late.
	Delay
	// BlackholeReplies forwards requests and holds back what comes in answer to them.
	BlackholeReplies
	// Blackhole holds back everything.
	Blackhole
)

// delayBy is the delay of each chunk in mode Delay.
const delayBy = 40 * time.Millisecond

// Proxy forwards TCP connections and disturbs them.
type Proxy struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	mode   Mode
	change chan struct{} // closed when the mode changes
	refuse bool
	conns  map[net.Conn]bool
	done   bool
}

// NewProxy listens at address and forwards to target.
func NewProxy(address, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, conns: map[net.Conn]bool{}, change: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Set changes the mode. Connections that were silent while bytes were on their way stay silent: their bytes are lost.
func (p *Proxy) Set(m Mode, refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.refuse = m, refuse
	close(p.change)
	p.change = make(chan struct{})
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.mu.Lock()
	p.done = true
	p.mu.Unlock()
	p.Set(Pass, true)
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.refuse
		p.mu.Unlock()
		if refuse {
			_ = c.Close()
			continue
		}
		go p.forward(c)
	}
}

func (p *Proxy) forward(client net.Conn) {
	server, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		if t, ok := client.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // as a port without a listener
		}
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.pump(server, client, false) }()
	go func() { defer wg.Done(); p.pump(client, server, true) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// pump copies bytes until one side ends. It closes the write side of to at the regular end and both at an error.
func (p *Proxy) pump(to, from net.Conn, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.pass(back) {
			err = io.ErrClosedPipe
		} else if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		switch err {
		case nil:
			continue
		case io.EOF:
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
		default:
			for _, c := range []net.Conn{to, from} {
				if t, ok := c.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
				_ = c.Close()
			}
		}
		return
	}
}

// pass waits while the direction is silent and reports whether the bytes are to be forwarded: those held back are lost.
func (p *Proxy) pass(back bool) bool {
	held := false
	for {
		p.mu.Lock()
		mode, change, done := p.mode, p.change, p.done
		p.mu.Unlock()
		switch {
		case done:
			return false
		case mode == Blackhole, mode == BlackholeReplies && back:
			held = true
			<-change
			continue
		case held:
			return false
		case mode == Delay:
			time.Sleep(delayBy)
		}
		return true
	}
}
