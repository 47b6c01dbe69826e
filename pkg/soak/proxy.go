// Package soak runs the daemon's roles as processes on loopback with stand-ins for the users' platform, injects faults
// from outside and checks what callers and runners observe. It is never linked into the daemon.
package soak

import (
	"errors"
	"io"
	"net"
	"os"
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
	// Hold forwards bytes of open connections when the mode ends, unless their sender has reset the connection meanwhile.
	// New connections carry nothing.
	Hold
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
		reset(c)
	}
}

// Finish ends all open connections regularly, as a device on the path may do.
func (p *Proxy) Finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
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
		refuse, hold, modeChanged := p.refuseNew, p.mode == Hold, p.modeChanged
		p.mu.Unlock()
		if hold {
			go func() {
				<-modeChanged
				reset(c)
			}()
			continue
		}
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
		reset(client) // as by a port without a listener
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
		if p.currentMode() == Hold {
			var held []byte
			if held, err = p.hold(from, buf[:n], err); len(held) > 0 {
				if _, werr := to.Write(held); werr != nil {
					err = werr
				}
			}
		} else if n > 0 && !p.waitToForward(toClient) {
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
			reset(to)
			reset(from)
		}
		return
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// holdPoll is the time between two looks at the mode while bytes are held.
const holdPoll = 20 * time.Millisecond

// hold returns the bytes read and all that follow them until the mode is no longer Hold, and how the connection ended. It
// returns no bytes if the connection was reset.
func (p *Proxy) hold(from net.Conn, read []byte, err error) ([]byte, error) {
	held, buf := append([]byte{}, read...), make([]byte, 16<<10)
	for p.currentMode() == Hold {
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(holdPoll)
			continue
		}
		_ = from.SetReadDeadline(time.Now().Add(holdPoll)) // fails only on a connection that is closed
		var n int
		n, err = from.Read(buf)
		held = append(held, buf[:n]...)
	}
	_ = from.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = nil
	case err != nil && err != io.EOF:
		return nil, err
	}
	return held, err
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
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
