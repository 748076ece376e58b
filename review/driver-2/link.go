package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// link is a proxy between the instances and one server. While it is cut, what either side sends is held, and new connections hang; it is delivered once
// the cut has healed.
type link struct {
	listener net.Listener
	target   atomic.Pointer[string]

	mutex  sync.Mutex
	healed chan struct{} // closed while the link is not cut
}

func newLink() (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, healed: make(chan struct{})}
	close(l.healed)
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) cut() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.healed = make(chan struct{})
}

func (l *link) heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.healed)
}

// await waits until the link is not cut.
func (l *link) await() {
	l.mutex.Lock()
	healed := l.healed
	l.mutex.Unlock()
	<-healed
}

func (l *link) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(from.(*net.TCPConn))
	}
}

// carry carries one connection. Where nothing listens behind the link, it resets the connection.
func (l *link) carry(from *net.TCPConn) {
	l.await()
	raw, err := net.Dial("tcp", *l.target.Load())
	if err != nil {
		_ = from.SetLinger(0)
		_ = from.Close()
		return
	}
	to := raw.(*net.TCPConn)
	var group sync.WaitGroup
	group.Go(func() { l.copy(to, from) })
	group.Go(func() { l.copy(from, to) })
	group.Wait()
	_ = from.Close()
	_ = to.Close()
}

// copy carries bytes in one direction, and then their end or reset.
func (l *link) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
