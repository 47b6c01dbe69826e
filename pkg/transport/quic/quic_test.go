package quic_test

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuscross/hibiscuscross/pkg/devcert"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport"
	"github.com/hibiscuscross/hibiscuscross/pkg/transport/quic"
)

func TestQUIC(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "transport.quic")
}

func newTransport(a *devcert.Authority, vm string) *quic.Transport {
	cert, err := a.Issue(vm)
	Expect(err).NotTo(HaveOccurred())
	return quic.New(cert, a.Pool())
}

// echoOnce accepts connections and echoes the first stream of each.
func echoOnce(ctx context.Context, l transport.Listener) {
	for {
		c, err := l.Accept(ctx)
		if err != nil {
			return
		}
		go func() {
			st, err := c.AcceptStream(ctx)
			if err != nil {
				return
			}
			_, _ = io.Copy(st, st)
			_ = st.CloseWrite()
		}()
	}
}

var _ = Describe("QUIC transport", func() {
	var (
		ctx       context.Context
		authority *devcert.Authority
		listener  transport.Listener
	)

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
		DeferCleanup(cancel)
		var err error
		authority, err = devcert.NewAuthority()
		Expect(err).NotTo(HaveOccurred())
		listener, err = newTransport(authority, "vm-server").Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go echoOnce(ctx, listener)
	})

	roundTrip := func(t *quic.Transport) (string, error) {
		c, err := t.Dial(ctx, listener.Addr())
		if err != nil {
			return "", err
		}
		defer c.Close()
		st, err := c.OpenStream(ctx)
		if err != nil {
			return "", err
		}
		if _, err := st.Write([]byte("x")); err != nil {
			return "", err
		}
		_ = st.CloseWrite()
		b, err := io.ReadAll(st)
		return string(b), err
	}

	It("carries bytes between peers with the same authority", func() {
		Expect(roundTrip(newTransport(authority, "vm-client"))).To(Equal("x"))
	})

	// Guards against serving a peer whose certificate is not from the authority.
	It("refuses a peer of another authority", func() {
		other, err := devcert.NewAuthority()
		Expect(err).NotTo(HaveOccurred())
		cert, err := other.Issue("vm-client")
		Expect(err).NotTo(HaveOccurred())
		_, err = roundTrip(quic.New(cert, authority.Pool()))
		Expect(err).To(HaveOccurred())
	})

	// Guards against a client that trusts any server.
	It("refuses a server of another authority", func() {
		other, err := devcert.NewAuthority()
		Expect(err).NotTo(HaveOccurred())
		cert, err := authority.Issue("vm-client")
		Expect(err).NotTo(HaveOccurred())
		_, err = roundTrip(quic.New(cert, other.Pool()))
		Expect(err).To(MatchError(ContainSubstring("verify peer certificate")))
	})

	// Guards against a new connection on the old flow, whose entry in network devices on the way may have been lost.
	It("dials from a new local port each time", func() {
		t := newTransport(authority, "vm-client")
		a, err := t.Dial(ctx, listener.Addr())
		Expect(err).NotTo(HaveOccurred())
		defer a.Close()
		b, err := t.Dial(ctx, listener.Addr())
		Expect(err).NotTo(HaveOccurred())
		defer b.Close()
		Expect(a.LocalAddr()).NotTo(Equal(b.LocalAddr()))
		Expect(a.PeerID()).To(Equal("vm-server"))
	})

	// Guards against two agents that give orders to one upstream.
	It("binds its address exclusively", func() {
		_, err := newTransport(authority, "vm-second").Listen(listener.Addr())
		Expect(err).To(HaveOccurred())
	})

	Describe("pool", func() {
		// Guards against a dial per request and against the reuse of a connection that was found dead.
		It("shares a connection until it is discarded", func() {
			p := transport.NewPool(newTransport(authority, "vm-client"))
			defer p.Close()
			a, err := p.Get(ctx, listener.Addr())
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Get(ctx, listener.Addr())).To(BeIdenticalTo(a))
			p.Discard(listener.Addr(), a)
			b, err := p.Get(ctx, listener.Addr())
			Expect(err).NotTo(HaveOccurred())
			Expect(b).NotTo(BeIdenticalTo(a))
			_ = a.Close()
		})

		// Guards against a call of Get that is cancelled during a shared dial and thereby fails the dial for the others.
		It("continues a dial after the call that started it was cancelled", func() {
			p := transport.NewPool(newTransport(authority, "vm-client"))
			defer p.Close()
			cancelled, cancel := context.WithCancel(ctx)
			cancel()
			_, err := p.Get(cancelled, listener.Addr())
			Expect(err).To(HaveOccurred())
			_, err = p.Get(ctx, listener.Addr())
			Expect(err).NotTo(HaveOccurred())
		})
	})
})
