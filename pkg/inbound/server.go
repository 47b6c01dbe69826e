package inbound

import (
	"io"
	"log"
	"net/http"
	"time"
)

const (
	// SweepInterval is the time between two searches for connections that are past a limit.
	SweepInterval = 250 * time.Millisecond
	// reportInterval bounds the rate of reports on closed connections.
	reportInterval = time.Second
)

// Report is called about once a second with the number of connections that were closed, by cause, and of open ones.
type Report func(closed map[string]int, open int)

// Serve serves connections of the listener until the server is closed. It sets the server's ConnState hook.
func Serve(s *http.Server, l *Listener, report Report) error {
	s.ConnState = l.RecordState
	stop := make(chan struct{})
	defer close(stop)
	go sweep(l, report, stop)
	return s.Serve(l)
}

func sweep(l *Listener, report Report, stop <-chan struct{}) {
	tick := time.NewTicker(SweepInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			l.Sweep(now)
		}
		if report != nil && n%int(reportInterval/SweepInterval) == 0 {
			report(l.TakeClosed())
		}
	}
}

// Limits of a port for operators or for the balancer's readiness check.
const (
	// OpsConnections bounds the connections of such a port. A balancer and a few scrapers use one or two each.
	OpsConnections = 24
	opsHeaderBytes = 8 << 10
	opsHeadTimeout = 5 * time.Second
	opsIdleTimeout = 30 * time.Second
	// opsWriteStall is short, since a client that takes nothing of an answer keeps one of few places.
	opsWriteStall = 2 * time.Second
)

// ListenOps listens for operators or a balancer.
func ListenOps(address string) (*Listener, error) {
	return Listen(address, Options{Connections: OpsConnections, WriteStall: opsWriteStall, Limits: func() Limits {
		return Limits{HeaderBytes: opsHeaderBytes, HeaderTimeout: opsHeadTimeout, IdleTimeout: opsIdleTimeout}
	}})
}

// NewOpsServer returns a server for operators or a balancer. It refuses requests with a body, which no handler of these
// ports reads.
func NewOpsServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength != 0 {
				w.Header().Set("Connection", "close")
				http.Error(w, "this port takes no bodies", http.StatusRequestEntityTooLarge)
				Linger(w, r)
				return
			}
			h.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: opsHeadTimeout, MaxHeaderBytes: opsHeaderBytes,
		ErrorLog: DiscardLog,
	}
}

// DiscardLog drops the lines that net/http writes about single connections, at a rate which clients determine.
var DiscardLog = log.New(io.Discard, "", 0)
