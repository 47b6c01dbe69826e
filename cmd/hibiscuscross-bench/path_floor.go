package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"path/filepath"
	"time"

	quicgo "github.com/quic-go/quic-go"

	"github.com/hibiscuscross/hibiscuscross/pkg/router"
)

// The floor does the minimum work that any router on these libraries does for a token: it receives one plain quic-go
// stream frame and flushes one net/http write. The source sends the frames with the interval and size of the events of
// the engine stand-in.

func (c *childCmd) floorTLS(vm string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(filepath.Join(c.Dir, vm+".pem"), filepath.Join(c.Dir, vm+"-key.pem"))
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(filepath.Join(c.Dir, "ca.pem"))
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	// InsecureSkipVerify is needed because the peer, a process of this benchmark, has a certificate without a host name.
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, InsecureSkipVerify: true, NextProtos: []string{"floor"}}, nil
}

func floorQUIC() *quicgo.Config {
	return &quicgo.Config{MaxIncomingStreams: 4096, MaxIdleTimeout: time.Minute}
}

// source serves streams of token frames over QUIC.
func (c *childCmd) source() error {
	conf, err := c.floorTLS("vm-agent")
	if err != nil {
		return err
	}
	l, err := quicgo.ListenAddr("127.0.0.1:0", conf, floorQUIC())
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := l.Accept(context.Background())
			if err != nil {
				return
			}
			go c.sourceConn(conn)
		}
	}()
	return announceAndWait(l.Addr().String())
}

// sourceConn sends Tokens frames and the end mark on each stream of a connection, one frame per Interval.
func (c *childCmd) sourceConn(conn *quicgo.Conn) {
	for {
		st, err := conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		go func() {
			defer st.Close()
			tick := time.NewTicker(c.Interval)
			defer tick.Stop()
			for i := range c.Tokens {
				if _, err := st.Write(floorFrame(i)); err != nil {
					return
				}
				<-tick.C
			}
			_, _ = st.Write([]byte("data: [DONE]\n\n"))
		}()
	}
}

// floor serves HTTP and copies a stream of the source into each response.
func (c *childCmd) floor() error {
	router.TuneRuntime()
	conf, err := c.floorTLS("vm-router")
	if err != nil {
		return err
	}
	conn, err := quicgo.DialAddr(context.Background(), c.To, conf, floorQUIC())
	if err != nil {
		return err
	}
	return serveHTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		st, err := conn.OpenStreamSync(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer st.CancelRead(0)
		_, _ = st.Write([]byte{1})
		w.Header().Set("Content-Type", "text/event-stream")
		flush := w.(http.Flusher)
		buf := make([]byte, 4096)
		for {
			n, err := st.Read(buf)
			if n > 0 {
				_, _ = w.Write(buf[:n])
				flush.Flush()
			}
			if err != nil {
				_ = st.Close()
				return
			}
		}
	}))
}
