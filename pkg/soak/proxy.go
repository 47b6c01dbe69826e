// Package soak runs the daemon's roles as processes on loopback with stand-ins for the users' platform, injects faults
// from outside and checks what callers and runners observe. It is never linked into the daemon.
package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode determines how a proxy treats the bytes of its connections.
type Mode int

// Modes of a proxy.
const (
	// Pass forwards bytes immediately.
	Pass Mode = iota
	// Delay forwards bytes after a delay.
	Delay
	// BlackholeReplies forwards bytes to the server and none to the client.
	BlackholeReplies
	// Blackhole forwards no bytes.
	Blackhole
)

// chunkDelay is the delay of each chunk of bytes in mode Delay.
const chunkDelay = 40 * time.Millisecond

// Proxy is a TCP proxy that injects faults into its connections.
type Proxy struct {
	listener    net.Listener
	target      string
	mu          sync.Mutex
	mode        Mode
	modeChanged chan struct{} // closed and replaced when the mode changes
	refuseNew   bool
	conns       map[net.Conn]bool
	closed      bool
}

// NewProxy listens at address and forwards to target.
func NewProxy(address, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: ln, target: target, conns: map[net.Conn]bool{}, modeChanged: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Set changes the mode and whether new connections are refused. A connection on which bytes were blocked in a blackhole
// mode is reset after the change, because these bytes are lost.
func (p *Proxy) Set(m Mode, refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.refuseNew = m, refuse
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
}

// Reset resets all open connections.
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

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Set(Pass, true)
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.refuseNew
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
			_ = t.SetLinger(0) // reset, as by a port without a listener
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

// pump copies bytes from one connection to the other until one of them ends. At a regular end it closes the write side
// of to, at an error it resets both connections.
func (p *Proxy) pump(to, from net.Conn, toClient bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.waitToForward(toClient) {
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

// waitToForward waits while the direction is blackholed and reports whether the bytes are to be forwarded. Bytes that
// had to wait for the end of a blackhole mode are not: they are lost.
func (p *Proxy) waitToForward(toClient bool) bool {
	blackholed := false
	for {
		p.mu.Lock()
		mode, modeChanged, closed := p.mode, p.modeChanged, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case mode == Blackhole, mode == BlackholeReplies && toClient:
			blackholed = true
			<-modeChanged
			continue
		case blackholed:
			return false
		case mode == Delay:
			time.Sleep(chunkDelay)
		}
		return true
	}
}
