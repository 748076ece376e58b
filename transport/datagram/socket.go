package datagram

import (
	"errors"
	"net"
	"net/netip"

	"github.com/samber/oops"
)

// MaximumBytes is the size of the longest message.
const MaximumBytes = 32 << 10

// Socket sends and receives messages; it is safe for concurrent use.
type Socket struct {
	connection *net.UDPConn
}

// Open binds a socket to the address.
func Open(address netip.AddrPort) (*Socket, error) {
	connection, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, oops.In("datagram").With("address", address).Wrap(err)
	}
	return &Socket{connection: connection}, nil
}

// Send sends one message.
func (s *Socket) Send(to netip.AddrPort, message []byte) error {
	if _, err := s.connection.WriteToUDPAddrPort(message, to); err != nil {
		return oops.In("datagram").With("to", to).Wrap(err)
	}
	return nil
}

// Receive hands each message to the function, which must not keep it, until the socket is closed.
func (s *Socket) Receive(take func(message []byte)) {
	buffer := make([]byte, MaximumBytes)
	for {
		size, _, err := s.connection.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		take(buffer[:size])
	}
}

// Close ends Receive.
func (s *Socket) Close() error { return s.connection.Close() }
