package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Conns tracks the connections accepted by a stand-in, so that faults can be applied to the open ones while later
// connections work.
type Conns struct {
	mu      sync.Mutex
	open    map[*trackedConn]bool
	written atomic.Int64
}

// Written returns the number of bytes sent to clients so far, without the overhead of the layers below HTTP.
func (c *Conns) Written() int64 { return c.written.Load() }

type trackedConn struct {
	net.Conn
	owner      *Conns
	once       sync.Once
	blackholed chan struct{} // closed when the connection is blackholed
	closed     chan struct{} // closed by Close and Conns.Reset
}

type trackedListener struct {
	net.Listener
	owner *Conns
}

// Listen returns a listener on a TCP address whose connections are tracked.
func (c *Conns) Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &trackedListener{Listener: l, owner: c}, nil
}

func (l *trackedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: raw, owner: l.owner, blackholed: make(chan struct{}), closed: make(chan struct{})}
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	if l.owner.open == nil {
		l.owner.open = map[*trackedConn]bool{}
	}
	l.owner.open[t] = true
	return t, nil
}

func (c *Conns) snapshot() []*trackedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*trackedConn, 0, len(c.open))
	for t := range c.open {
		out = append(out, t)
	}
	return out
}

// Blackhole makes all open connections permanently unresponsive: they stay open, data written to them is discarded, and
// data that the client sends is no longer read. It returns the number of connections.
func (c *Conns) Blackhole() int {
	all := c.snapshot()
	for _, t := range all {
		t.owner.mu.Lock()
		if !t.isBlackholed() {
			close(t.blackholed)
		}
		t.owner.mu.Unlock()
	}
	return len(all)
}

// Reset resets all open connections and returns their number.
func (c *Conns) Reset() int {
	all := c.snapshot()
	for _, t := range all {
		if tcp, ok := t.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = t.closeNow()
	}
	return len(all)
}

func (t *trackedConn) isBlackholed() bool {
	select {
	case <-t.blackholed:
		return true
	default:
		return false
	}
}

// Read reads from the connection. If the connection is blackholed, Read discards the data and blocks until Close.
func (t *trackedConn) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if t.isBlackholed() {
		<-t.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection. If the connection is blackholed, Write discards the data and reports success.
func (t *trackedConn) Write(b []byte) (int, error) {
	if t.isBlackholed() {
		return len(b), nil
	}
	n, err := t.Conn.Write(b)
	t.owner.written.Add(int64(n))
	return n, err
}

// Close closes the connection. A blackholed one stays open towards the client until Conns.Reset, because the client
// would notice the close.
func (t *trackedConn) Close() error {
	t.once.Do(func() { close(t.closed) })
	if t.isBlackholed() {
		return nil
	}
	return t.closeNow()
}

// closeNow closes the connection towards the client even if it is blackholed.
func (t *trackedConn) closeNow() error {
	t.owner.mu.Lock()
	delete(t.owner.open, t)
	t.owner.mu.Unlock()
	t.once.Do(func() { close(t.closed) })
	return t.Conn.Close()
}

// Server is a running stand-in.
type Server struct {
	// Addr is the address that the server listens on, ip:port.
	Addr  string
	Conns *Conns
	http  *http.Server
}

// Serve runs a handler on a TCP address ("127.0.0.1:0" for any port) until Close. Its connections are tracked in conns,
// or in a new Conns if conns is nil. If the handler's stand-in has the same Conns, its faults apply to the connections.
func Serve(addr string, h http.Handler, conns *Conns) (*Server, error) {
	if conns == nil {
		conns = &Conns{}
	}
	l, err := conns.Listen(addr)
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: l.Addr().String(), Conns: conns, http: &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Addr }

// Close stops the server and resets its connections.
func (s *Server) Close() {
	_ = s.http.Close()
	s.Conns.Reset()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes a request's body, in which unknown fields are errors. It reports whether that succeeded; if not, it
// has answered 400.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 16<<20))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// blackholeHandler serves POST /standin/silence, which applies Conns.Blackhole to the stand-in's connections.
func blackholeHandler(c *Conns) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if c == nil {
			http.Error(w, "connections are not tracked", http.StatusNotImplemented)
			return
		}
		// The answer is flushed first, because the connection of this call is blackholed too.
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush()
		c.Blackhole()
	}
}
