package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// ErrClosed reports a stand-in that has been closed.
var ErrClosed = errors.New("stand-in is closed")

// server is what all stand-ins share: a listener, connections and faults; lock order: mutex before those of faults and connections.
type server struct {
	handler http.Handler
	kinds   []FaultKind
	onFault func(Fault)   // after a fault has come into force
	onClear func()        // after all faults were cleared
	latency time.Duration // of each call

	losesRequests bool // the lose fault cuts requests before their effect
	holdsAnswers  bool // the stall fault keeps answers back

	faults    *faults
	conns     *connections
	http      *http.Server
	tasks     conc.WaitGroup
	context   context.Context // ends at Close
	cancel    context.CancelFunc
	closed    chan struct{}
	closeOnce sync.Once
	mutex     sync.Mutex
	listening net.Listener
	address   string // to listen on again after die
}

func newServer(kinds ...FaultKind) *server {
	s := &server{
		kinds:   kinds,
		onFault: func(Fault) {},
		onClear: func() {},
		faults:  newFaults(),
		conns:   newConnections(),
		closed:  make(chan struct{}),
	}
	s.context, s.cancel = context.WithCancel(context.Background())
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maximumHeader,
		ErrorLog:          quiet(),
	}
	return s
}

// Listen serves on the address, port 0 for any, and returns the one that it got.
func (s *server) Listen(address netip.AddrPort) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen on %s: %w", address, err)
	}
	s.mutex.Lock()
	s.address = l.Addr().String()
	s.mutex.Unlock()
	if err := s.Serve(l); err != nil {
		return netip.AddrPort{}, err
	}
	return netip.ParseAddrPort(l.Addr().String())
}

// Serve serves on a listener, in the background; after Close it returns ErrClosed.
func (s *server) Serve(l net.Listener) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-s.closed:
		return errors.Join(ErrClosed, l.Close())
	default:
	}
	s.listening = l
	s.tasks.Go(func() { _ = s.http.Serve(&listener{Listener: l, owner: s.conns}) })
	return nil
}

// background runs a task that Close waits for, unless the stand-in is closed.
func (s *server) background(task func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-s.closed:
	default:
		s.tasks.Go(task)
	}
}

// Close cuts all connections and ends the stand-in.
func (s *server) Close() error {
	s.closeOnce.Do(func() {
		s.mutex.Lock()
		close(s.closed)
		s.cancel()
		s.mutex.Unlock()
		_ = s.http.Close()
		s.conns.drop()
		s.tasks.Wait()
	})
	return nil
}

// Fault brings a fault into force, as POST /fault does; errors wrap ErrFault.
func (s *server) Fault(fault Fault) error {
	if err := fault.check(s.kinds, time.Now()); err != nil {
		return err
	}
	s.faults.set(fault)
	s.onFault(fault)
	switch fault.Kind {
	case FaultSilence:
		s.conns.silence()
	case FaultDie:
		s.die()
	}
	return nil
}

// ClearFaults ends all faults, as DELETE /fault does; silent connections stay silent.
func (s *server) ClearFaults() {
	s.faults.clear()
	s.onClear()
}

// die cuts all connections and refuses new ones until the fault is over.
func (s *server) die() {
	if s.unlisten() {
		s.background(s.revive)
	}
	s.conns.cut()
}

// crash has the stand-in die for a while, soon.
func (s *server) crash(now time.Time) {
	s.background(func() {
		_ = s.Fault(Fault{Kind: FaultDie, Until: now.Add(crashTime)}) // a closed stand-in need not die
	})
}

// unlisten closes the listener and reports whether there was one to open again.
func (s *server) unlisten() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listening == nil || s.address == "" {
		return false
	}
	_ = s.listening.Close()
	s.listening = nil
	return true
}

// revive listens on the old address again once the fault is over.
func (s *server) revive() {
	if !s.faults.wait(FaultDie, s.closed) {
		return
	}
	for {
		if l, err := net.Listen("tcp", s.address); err == nil {
			_ = s.Serve(l)
			return
		}
		if !sleep(time.Now().Add(relistenInterval), nil, s.closed) {
			return
		}
	}
}

// ServeHTTP passes a request through the faults in force to the stand-in.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maximumBody))
	if err != nil {
		refuse(w, http.StatusBadRequest, outcomeNotRun, "body: "+err.Error())
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if r.URL.Path == "/fault" {
		s.serveFault(w, r, body)
		return
	}
	if _, dead := s.faults.find(FaultDie); dead {
		panic(http.ErrAbortHandler)
	}
	if !s.faults.wait(FaultPause, s.closed) || !s.delay(s.latency) {
		panic(http.ErrAbortHandler)
	}
	if _, out := s.faults.find(FaultOutage); out {
		refuse(w, http.StatusServiceUnavailable, outcomeNotRun, "outage")
		return
	}
	s.serve(w, r)
}

// serve runs the handler, cutting the answer before or after the effect where a fault says so.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if s.holdsAnswers {
		w = &holdWriter{ResponseWriter: w, server: s}
	}
	if r.Method == http.MethodGet {
		s.handler.ServeHTTP(w, r)
		return
	}
	if s.losesRequests && s.faults.take(FaultLose) {
		panic(http.ErrAbortHandler)
	}
	if s.faults.take(FaultDropAnswer) {
		s.handler.ServeHTTP(cutWriter{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	}
	s.handler.ServeHTTP(w, r)
}

// delay waits for the time, longer when slow; false when the stand-in closes.
func (s *server) delay(wait time.Duration) bool {
	if slow, ok := s.faults.find(FaultSlow); ok {
		wait = time.Duration(float64(max(wait, slowBase)) * slow.Value)
	}
	if wait <= 0 {
		return true
	}
	return sleep(time.Now().Add(wait), nil, s.closed)
}

func (s *server) serveFault(w http.ResponseWriter, r *http.Request, body []byte) {
	switch r.Method {
	case http.MethodPost:
		fault, err := ParseFault(body)
		if err != nil {
			refuse(w, http.StatusBadRequest, outcomeNotRun, err.Error())
			return
		}
		if err := s.Fault(fault); err != nil {
			refuse(w, http.StatusBadRequest, outcomeNotRun, err.Error())
			return
		}
		w.WriteHeader(http.StatusNoContent)
	case http.MethodDelete:
		s.ClearFaults()
		w.WriteHeader(http.StatusNoContent)
	default:
		refuse(w, http.StatusMethodNotAllowed, outcomeNotRun, "method: "+r.Method)
	}
}

// cutWriter cuts the connection as soon as the handler starts to answer.
type cutWriter struct{ header http.Header }

// Header returns a header that is never sent.
func (c cutWriter) Header() http.Header { return c.header }

// Write cuts the connection.
func (c cutWriter) Write([]byte) (int, error) { panic(http.ErrAbortHandler) }

// WriteHeader cuts the connection.
func (c cutWriter) WriteHeader(int) { panic(http.ErrAbortHandler) }
