package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes TCP connections on. Those that are open when silence is called carry nothing any more, in either direction and for good, and are
// not closed; later ones work.
type proxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	links    []*link
}

// link is one connection through a proxy.
type link struct {
	near, far net.Conn
	silent    atomic.Bool
}

// newProxy starts a proxy for the target.
func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l := &link{near: near, far: far}
		p.mutex.Lock()
		p.links = append(p.links, l)
		p.mutex.Unlock()
		go l.pass(near, far)
		go l.pass(far, near)
	}
}

// pass passes bytes on until an end closes the connection. Of a silent link, it reads and drops them.
func (l *link) pass(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if l.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = l.near.Close()
	_ = l.far.Close()
}

// silence has all open connections go silent.
func (p *proxy) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, l := range p.links {
		l.silent.Store(true)
	}
	p.links = nil
}

// close ends the proxy.
func (p *proxy) close() { _ = p.listener.Close() }
