// Package quic implements the module "transport.quic": QUIC connections with mutual TLS.
package quic

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"strconv"
	"time"

	quicgo "github.com/quic-go/quic-go"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/kernel"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
)

// ID is the module's id.
const ID = "transport.quic"

const (
	protocol = "hibiscuscross/1"
	// idleTimeout closes a connection without traffic, so that pooled connections to unused upstreams do not stay open.
	idleTimeout = 30 * time.Second
	// handshakeTimeout bounds a dial. The latency between regions is about 12 ms one way.
	handshakeTimeout = 1 * time.Second
	// maxStreams bounds the streams that a peer may have open on a connection.
	maxStreams = 4096
	// windowShare is the share of the process's memory that a connection may receive ahead of its reader, and
	// minConnWindow the least such window, which carries 20 MB/s between regions (24 ms).
	windowShare   = 1.0 / 64
	minConnWindow = 512 << 10
	// Flow control windows of a stream and a connection, in bytes. The initial ones are small because most connections
	// carry few bytes.
	initialStreamWindow = 64 << 10
	maxStreamWindow     = 4 << 20
	initialConnWindow   = 256 << 10
	maxConnWindow       = 32 << 20
)

func init() {
	kernel.Register(ID, func() kernel.Module { return new(Transport) })
}

// Transport dials and listens with QUIC.
type Transport struct {
	tls  *tls.Config
	quic *quicgo.Config
}

var _ transport.Transport = (*Transport)(nil)

// Provision reads the PEM files named by the settings cert, key and ca.
func (t *Transport) Provision(_ context.Context, s kernel.Settings) error {
	cert, err := tls.LoadX509KeyPair(s.Take("cert", ""), s.Take("key", ""))
	if err != nil {
		return fault.Wrap(err, fault.StepSettings, "", "load certificate and key")
	}
	caFile := s.Take("ca", "")
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return fault.Wrap(err, fault.StepSettings, caFile, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fault.New(fault.StepSettings, caFile, "no certificate in the file")
	}
	t.configure(cert, pool)
	return t.limitWindows(s.Take("memory-mb", "0"))
}

// limitWindows reduces the flow control windows to the memory of the process in MB; 0 leaves the defaults.
func (t *Transport) limitWindows(memoryMB string) error {
	mb, err := strconv.ParseUint(memoryMB, 10, 32)
	if err != nil {
		return fault.Wrap(err, fault.StepSettings, "memory-mb", "parse "+memoryMB)
	}
	if mb > 0 {
		window := max(minConnWindow, uint64(windowShare*float64(mb<<20)))
		t.quic.MaxConnectionReceiveWindow = min(t.quic.MaxConnectionReceiveWindow, window)
		t.quic.MaxStreamReceiveWindow = min(t.quic.MaxStreamReceiveWindow, window/2)
	}
	return nil
}

// New returns a transport with a certificate and the authorities that have to sign the peers' certificates.
func New(cert tls.Certificate, authorities *x509.CertPool) *Transport {
	t := &Transport{}
	t.configure(cert, authorities)
	return t
}

func (t *Transport) configure(cert tls.Certificate, authorities *x509.CertPool) {
	t.tls = &tls.Config{
		Certificates:           []tls.Certificate{cert},
		RootCAs:                authorities,
		ClientCAs:              authorities,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocol},
		InsecureSkipVerify:     true, // verifyPeer verifies the chain; peers are identified by VM id, not by host name
		VerifyConnection:       verifyPeer(authorities),
		SessionTicketsDisabled: true,
	}
	t.quic = &quicgo.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
	}
}

// verifyPeer returns a check of the peer's chain against the authorities. The certificate's common name is the VM id.
// VerifyConnection, unlike VerifyPeerCertificate, is also called for resumed sessions.
func verifyPeer(authorities *x509.CertPool) func(tls.ConnectionState) error {
	return func(cs tls.ConnectionState) error {
		if len(cs.PeerCertificates) == 0 {
			return fault.New(fault.StepTransport, "", "peer sent no certificate")
		}
		leaf := cs.PeerCertificates[0]
		intermediates := x509.NewCertPool()
		for _, c := range cs.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		opts := x509.VerifyOptions{Roots: authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
		_, err := leaf.Verify(opts)
		return fault.Wrap(err, fault.StepTransport, leaf.Subject.CommonName, "verify peer certificate")
	}
}

// Validate does nothing; Provision has checked the settings.
func (t *Transport) Validate() error { return nil }

// Cleanup does nothing; listeners and connections are closed by their owners.
func (t *Transport) Cleanup() error { return nil }

// Dial connects to addr from a new local port.
func (t *Transport) Dial(ctx context.Context, addr string) (transport.Conn, error) {
	c, err := quicgo.DialAddr(ctx, addr, t.tls, t.quic)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepDial, addr, "dial")
	}
	return &conn{c: c}, nil
}

// Listen binds addr ("ip:port") exclusively.
func (t *Transport) Listen(addr string) (transport.Listener, error) {
	l, err := quicgo.ListenAddr(addr, t.tls, t.quic)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepTransport, addr, "listen")
	}
	return &listener{l: l}, nil
}

type listener struct{ l *quicgo.Listener }

func (l *listener) Accept(ctx context.Context) (transport.Conn, error) {
	c, err := l.l.Accept(ctx)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepTransport, "", "accept connection")
	}
	return &conn{c: c}, nil
}

func (l *listener) Addr() string { return l.l.Addr().(*net.UDPAddr).String() }
func (l *listener) Close() error { return l.l.Close() }

type conn struct{ c *quicgo.Conn }

func (c *conn) OpenStream(ctx context.Context) (transport.Stream, error) {
	s, err := c.c.OpenStreamSync(ctx)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepTransport, c.RemoteAddr(), "open stream")
	}
	return &stream{s: s}, nil
}

func (c *conn) AcceptStream(ctx context.Context) (transport.Stream, error) {
	s, err := c.c.AcceptStream(ctx)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepTransport, c.RemoteAddr(), "accept stream")
	}
	return &stream{s: s}, nil
}

func (c *conn) PeerID() string {
	certs := c.c.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return certs[0].Subject.CommonName
}

func (c *conn) RemoteAddr() string    { return c.c.RemoteAddr().String() }
func (c *conn) LocalAddr() string     { return c.c.LocalAddr().String() }
func (c *conn) Done() <-chan struct{} { return c.c.Context().Done() }
func (c *conn) Close() error          { return c.c.CloseWithError(0, "") }

type stream struct{ s *quicgo.Stream }

func (s *stream) Read(p []byte) (int, error)         { return s.s.Read(p) }
func (s *stream) Write(p []byte) (int, error)        { return s.s.Write(p) }
func (s *stream) CloseWrite() error                  { return s.s.Close() }
func (s *stream) SetReadDeadline(t time.Time) error  { return s.s.SetReadDeadline(t) }
func (s *stream) SetWriteDeadline(t time.Time) error { return s.s.SetWriteDeadline(t) }

func (s *stream) Reset() {
	s.s.CancelRead(0)
	s.s.CancelWrite(0)
}
