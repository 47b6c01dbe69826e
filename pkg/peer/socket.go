package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// Socket sends and receives messages over UDP.
type Socket struct{ conn *net.UDPConn }

// Listen opens a socket at the address (IP:port).
func Listen(address string) (*Socket, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepTransport, address, "parse address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, fault.Wrap(err, fault.StepTransport, address, "listen")
	}
	return &Socket{conn: conn}, nil
}

// Send sends a message to a peer. Delivery is not confirmed.
func (s *Socket) Send(to netip.AddrPort, m Message) error {
	raw, err := Encode(m)
	if err != nil {
		return err
	}
	_, err = s.conn.WriteToUDPAddrPort(raw, to)
	return fault.Wrap(err, fault.StepTransport, to.String(), "send message")
}

// Receive calls handle for each message until ctx ends, and handleError for each failed read and each datagram that
// cannot be decoded. It closes the socket when ctx ends.
func (s *Socket) Receive(ctx context.Context, handle func(netip.AddrPort, Message), handleError func(netip.AddrPort, error)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, MaxDatagram+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return ctx.Err()
			}
			handleError(from, err) // for example an ICMP error caused by an earlier send
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		m, err := Decode(buf[:n])
		if err != nil {
			handleError(from, err)
			continue
		}
		handle(from, m)
	}
}

// Address returns the socket's own address.
func (s *Socket) Address() netip.AddrPort {
	a, _ := s.conn.LocalAddr().(*net.UDPAddr)
	return a.AddrPort()
}
