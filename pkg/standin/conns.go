package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Conns tracks the connections accepted by a stand-in, so that faults can be applied to those open now while later
// connections work.
type Conns struct {
	mu      sync.Mutex
	open    map[*trackedConn]bool
	written atomic.Int64
}

// Written returns the bytes sent to clients so far, without those of the layers below HTTP.
func (c *Conns) Written() int64 { return c.written.Load() }

type trackedConn struct {
	net.Conn
	owner  *Conns
	once   sync.Once
	silent chan struct{} // closed when the connection goes silent
	ended  chan struct{}
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
	t := &trackedConn{Conn: raw, owner: l.owner, silent: make(chan struct{}), ended: make(chan struct{})}
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

// Blackhole makes all connections open now silent for good: they stay open, what is written to them is discarded, and
// what the client sends is not read any more. It returns how many there were.
func (c *Conns) Blackhole() int {
	all := c.snapshot()
	for _, t := range all {
		t.owner.mu.Lock()
		if !t.isSilent() {
			close(t.silent)
		}
		t.owner.mu.Unlock()
	}
	return len(all)
}

// Reset resets all connections open now and returns how many there were.
func (c *Conns) Reset() int {
	all := c.snapshot()
	for _, t := range all {
		if tcp, ok := t.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = t.end()
	}
	return len(all)
}

func (t *trackedConn) isSilent() bool {
	select {
	case <-t.silent:
		return true
	default:
		return false
	}
}

// Read blocks on a silent connection until it is closed: data that arrives then is not passed on.
func (t *trackedConn) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if t.isSilent() {
		<-t.ended
		return 0, net.ErrClosed
	}
	return n, err
}

// Write pretends success on a silent connection.
func (t *trackedConn) Write(b []byte) (int, error) {
	if t.isSilent() {
		return len(b), nil
	}
	n, err := t.Conn.Write(b)
	t.owner.written.Add(int64(n))
	return n, err
}

// Close closes the connection. A silent one stays open for the client until Drop, because a closed one would give the
// client a sign.
func (t *trackedConn) Close() error {
	t.once.Do(func() { close(t.ended) })
	if t.isSilent() {
		return nil
	}
	return t.end()
}

func (t *trackedConn) end() error {
	t.owner.mu.Lock()
	delete(t.owner.open, t)
	t.owner.mu.Unlock()
	t.once.Do(func() { close(t.ended) })
	return t.Conn.Close()
}

// Server is a running stand-in.
type Server struct {
	// Addr is the address it listens on, ip:port.
	Addr  string
	Conns *Conns
	http  *http.Server
}

// Serve runs a handler on a TCP address ("127.0.0.1:0" for any port) with tracked connections, until Close. The
// handler's stand-in may be given the same Conns, so that its faults reach the connections.
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

// Close ends the server and its connections.
func (s *Server) Close() {
	_ = s.http.Close()
	s.Conns.Reset()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes a request's body strictly and answers 400 if it cannot.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 16<<20))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// silenceHandler serves the fault that is common to all stand-ins.
func silenceHandler(c *Conns) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if c == nil {
			http.Error(w, "connections are not tracked", http.StatusNotImplemented)
			return
		}
		// The answer leaves first, as the connection of this call goes silent too.
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush()
		c.Blackhole()
	}
}
