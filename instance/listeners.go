package instance

import (
	"net"
	"net/netip"

	"github.com/samber/oops"
)

// Listeners are the open sockets of one instance.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Listen opens the sockets that the settings name.
func Listen(settings *Settings) (Listeners, error) {
	var l Listeners
	for _, s := range []struct {
		address  netip.AddrPort
		listener *net.Listener
	}{{settings.Callers, &l.Callers}, {settings.Operators, &l.Operators}, {settings.Peers, &l.Peers}} {
		opened, err := net.Listen("tcp", s.address.String())
		if err != nil {
			l.close()
			return Listeners{}, oops.In("instance").With("address", s.address).Wrap(err)
		}
		*s.listener = opened
	}
	return l, nil
}

func (l Listeners) close() {
	for _, c := range []net.Listener{l.Callers, l.Operators, l.Peers} {
		if c != nil {
			_ = c.Close()
		}
	}
}
