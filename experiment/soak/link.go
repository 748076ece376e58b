package soak

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/internal/wait"
)

// mode is how a link treats what goes over it.
type mode int

const (
	modePass mode = iota
	modeDelay
	modeReset   // open connections break, and new ones
	modeSilence // nothing goes either way
	modeOneWay  // nothing comes back
)

var modeNames = map[mode]string{modePass: "pass", modeDelay: "delay", modeReset: "reset", modeSilence: "silence", modeOneWay: "oneWay"}

// link is a proxy on loopback between a process and what it calls.
type link struct {
	listener net.Listener
	to       netip.AddrPort
	context  context.Context
	stop     context.CancelFunc
	group    conc.WaitGroup

	mutex sync.Mutex
	mode  mode
	open  map[net.Conn]bool
}

func newLink(to netip.AddrPort) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, to: to, open: make(map[net.Conn]bool)}
	l.context, l.stop = context.WithCancel(context.Background())
	l.group.Go(l.accept)
	return l, nil
}

func (l *link) address() netip.AddrPort {
	return netip.MustParseAddrPort(l.listener.Addr().String())
}

// set changes the mode; a reset breaks what is open.
func (l *link) set(m mode) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.mode = m
	if m != modeReset {
		return
	}
	for c := range l.open {
		_ = c.Close()
	}
}

func (l *link) now() mode {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.mode
}

func (l *link) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.group.Go(func() { l.carry(from) })
	}
}

// carry joins one connection with one of its own to the other side.
func (l *link) carry(from net.Conn) {
	if !l.keep(from) {
		return
	}
	defer l.drop(from)
	to, err := net.Dial("tcp", l.to.String())
	if err != nil || !l.keep(to) {
		return
	}
	defer l.drop(to)
	var back conc.WaitGroup
	back.Go(func() {
		l.pump(to, from, true)
		_ = from.Close()
	})
	l.pump(from, to, false)
	_ = to.Close()
	back.Wait()
}

func (l *link) keep(c net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.mode == modeReset || l.context.Err() != nil {
		_ = c.Close()
		return false
	}
	l.open[c] = true
	return true
}

func (l *link) drop(c net.Conn) {
	_ = c.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, c)
}

// pump copies one direction; what comes while the link is silent waits.
func (l *link) pump(from, to net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		size, err := from.Read(buffer)
		if err != nil {
			return
		}
		if l.now() == modeDelay && wait.For(l.context, linkDelay) != nil {
			return
		}
		for m := l.now(); m == modeSilence || m == modeOneWay && back; m = l.now() {
			if wait.For(l.context, 10*time.Millisecond) != nil {
				return
			}
		}
		if _, err := to.Write(buffer[:size]); err != nil {
			return
		}
	}
}

func (l *link) close() {
	l.stop()
	_ = l.listener.Close()
	l.set(modeReset)
	l.group.Wait()
}
