package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/eventlog"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/inbound"
	"github.com/hibiscuscross/hibiscuscross/pkg/membudget"
)

const (
	// headerTimeout bounds the time to read a request's header, if the configuration sets no shorter one.
	headerTimeout = 5 * time.Second
	// balancerDelay is the time until the load balancer has noticed that the process is not ready: two checks one
	// second apart and their answers.
	balancerDelay = 2800 * time.Millisecond
	// answerReserve is the part of the grace time set aside for the final answers of open requests, and stopReserve the
	// part for the exit of the process.
	answerReserve = 1300 * time.Millisecond
	stopReserve   = 800 * time.Millisecond
	// endCheckStop is the time from FinishRequests on after which the checks of the ends of answers are broken off, so that
	// their callers get an answer before the connections are closed.
	endCheckStop = answerReserve - stopReserve - 100*time.Millisecond
)

// Server accepts callers' connections.
type Server struct {
	http  *http.Server
	ln    *inbound.Listener
	gw    *Gateway
	log   *eventlog.Log
	grace time.Duration
	// lastCounts are the account's counts at the last report.
	lastCounts membudget.Counts
}

// NewServer returns a server that listens for callers at the address.
func NewServer(address string, gw *Gateway, log *eventlog.Log, grace time.Duration) (*Server, error) {
	ln, err := inbound.Listen(address, inbound.Options{Connections: gw.maxConnections, Account: gw.memory, Limits: gw.connLimits})
	if err != nil {
		return nil, err
	}
	return &Server{
		http:  &http.Server{Handler: gw, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: inbound.DiscardLog},
		ln:    ln,
		gw:    gw,
		log:   log,
		grace: grace,
	}, nil
}

// Run serves callers until Shutdown is called.
func (s *Server) Run() error {
	if err := inbound.Serve(s.http, s.ln, s.reportConns); !errors.Is(err, http.ErrServerClosed) {
		return fault.Wrap(err, fault.StepAdmit, s.ln.Addr().String(), "serve callers")
	}
	return nil
}

// Shutdown accepts connections until the load balancer opens no new ones, then ends all requests within the grace time.
func (s *Server) Shutdown() {
	start := time.Now()
	s.gw.StartDraining()
	time.Sleep(balancerDelay)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(s.grace-stopReserve))
	defer cancel()
	defer time.AfterFunc(time.Until(start.Add(s.grace-answerReserve)), s.gw.FinishRequests).Stop()
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.State("requests aborted at the end of the grace time", "err", err)
		_ = s.http.Close()
	}
}
