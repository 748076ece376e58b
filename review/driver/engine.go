package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat        = 1200 * time.Millisecond
	tokensPerEvent   = 4
	tokenBytes       = 262144 // KV memory of a token
	linkBits         = 38e9   // bandwidth between engines, in bits per second
	prefillPerMS     = 14     // prompt tokens that are read in a millisecond
	remoteSlowdown   = 2      // of a copy to another zone
	stepMS           = 7.0    // time of a step for one run
	stepMSPerRun     = 0.12   // added for each further run
	backupEvents     = 6      // events between two parts of a backup
	memoryTokens     = 34447  // KV memory of an engine
	usualOutput      = 928    // tokens
	headerAttempt    = "Attempt-Id"
	headerExpected   = "Expect-Instance"
	headerFrom       = "Kv-From"
	headerBackup     = "Kv-Backup"
	headerLastEvent  = "Last-Event-Id"
	headerUsage      = "Token-Usage"
	headerNotRun     = "Not-Executed"
	headerSigned     = "Response-Signature"
	headerDeadline   = "Deadline-Ms"
	headerKey        = "X-Api-Key"
	headerWorkspace  = "Tenant"
	stateReady       = "ready"
	stateDraining    = "draining"
	serviceModel     = "gye"
	serviceDesk      = "desk"
	serviceSecondary = "desk-two"
)

// engine is a stand-in of a model engine, or of an application.
type engine struct {
	id       string
	service  string
	zone     string
	address  string
	fleet    *engines
	server   *http.Server
	speed    float64              // factor on the time of a step
	work     time.Duration        // of a request of an application
	unframed func(id string) bool // whether a stream has neither a length nor chunks, and ends with its connection; may be nil
	lingers  func() bool          // whether runs go on when the connection of their caller closes; may be nil
	losesAt  func(id string) int  // event after which a stream's connection closes though the run goes on; 0: none; may be nil
	hasRoom  func() bool          // whether a last copy finds room here; may be nil

	mutex    sync.Mutex
	state    string
	sequence int
	used     int // tokens in memory
	running  int
	runs     map[string]*run
	copies   map[string]int // events made, by address and handle
	prefill  sync.Mutex     // held while a prompt is read
	link     sync.Mutex     // held while a copy is sent
	stopped  chan struct{}
}

// run is a stream that an engine makes.
type run struct {
	mutex   sync.Mutex
	made    int
	copied  int // tokens that the latest copy held
	stopped chan struct{}
	once    sync.Once
	moving  bool
	prompt  int
}

func (r *run) stop() { r.once.Do(func() { close(r.stopped) }) }

func (r *run) events() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.made
}

// span is the time in which one engine worked on one request.
type span struct {
	id, engine string
	from, to   time.Time // to is zero while the work goes on
	continued  bool      // the work goes on from a copy of the memory
	workspace  string
	service    string
}

// engines are the engines of a fleet.
type engines struct {
	record  *record
	store   *store
	mutex   sync.Mutex
	all     map[string]*engine // by address
	spans   []*span
	handles int
	lengths map[string]int  // events of streams, by id
	reached map[string]bool // requests that have reached an engine, by id
}

func newEngines(r *record, s *store) *engines {
	return &engines{record: r, store: s, all: make(map[string]*engine), lengths: make(map[string]int), reached: make(map[string]bool)}
}

// start adds an engine; the function may set its properties before it serves.
func (f *engines) start(id, service, zone, ip string, set func(e *engine)) (*engine, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, service: service, zone: zone, address: listener.Addr().String(), fleet: f, speed: 1, work: 60 * time.Millisecond, state: stateReady,
		runs: make(map[string]*run), copies: make(map[string]int), stopped: make(chan struct{}),
	}
	if set != nil {
		set(e)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", e.serveHealth)
	mux.HandleFunc("GET /v1/report", e.serveReport)
	mux.HandleFunc("POST /v1/kv-move", e.serveMove)
	mux.HandleFunc("DELETE /v1/kv-handle/{id}", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	f.mutex.Lock()
	f.all[e.address] = e
	f.mutex.Unlock()
	go func() { _ = e.server.Serve(listener) }() // ends with the engine
	go e.beat()
	f.record.line("engine %s of %s starts in %s at %s", id, service, zone, e.address)
	return e, nil
}

// close ends the engines.
func (f *engines) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, e := range f.all {
		close(e.stopped)
		_ = e.server.Close()
	}
}

// length returns the number of events of a stream.
func (f *engines) length(id string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if n, found := f.lengths[id]; found {
		return n
	}
	return usualOutput / tokensPerEvent
}

// hasReached reports whether a request has reached an engine.
func (f *engines) hasReached(id string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.reached[id]
}

func (f *engines) at(address string) *engine {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.all[address]
}

// began notes that an engine begins to work on a request, and returns a function that notes the end.
func (f *engines) began(id string, e *engine, continued bool, workspace string) func(how string) {
	s := &span{id: id, engine: e.id, from: time.Now(), continued: continued, workspace: workspace, service: e.service}
	f.mutex.Lock()
	f.spans = append(f.spans, s)
	f.mutex.Unlock()
	how := "runs"
	if continued {
		how = "goes on with"
	}
	f.record.line("engine %s %s %s", e.id, how, id)
	return func(how string) {
		f.mutex.Lock()
		s.to = time.Now()
		f.mutex.Unlock()
		f.record.line("engine %s ends %s: %s", e.id, id, how)
	}
}

// work returns the spans of all requests until now.
func (f *engines) work() []span {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	spans := make([]span, 0, len(f.spans))
	for _, s := range f.spans {
		spans = append(spans, *s)
	}
	return spans
}

// beat writes the engine's entry in the list.
func (e *engine) beat() {
	for {
		e.write()
		select {
		case <-e.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *engine) write() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sequence++
	err := e.fleet.store.putJSON(topicServers, e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": e.state, "cold_remaining_ms": 0, "sequence": e.sequence,
	})
	if err != nil {
		e.fleet.record.line("engine %s could not write: %v", e.id, err)
	}
}

// drain announces that the engine leaves; the store has accepted that when drain returns.
func (e *engine) drain() {
	e.mutex.Lock()
	e.state = stateDraining
	e.mutex.Unlock()
	e.write()
	e.fleet.record.line("engine %s is draining, acknowledged by the store", e.id)
}

func (e *engine) leaving() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.state == stateDraining
}

func (e *engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Instance-Id", e.id)
	if e.leaving() {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	report := map[string]any{"stage": "both", "busy": false, "sequence": 0, "waiting": 0, "running": e.running, "kv_used": e.used, "kv_total": memoryTokens, "handles": len(e.copies)}
	e.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report) // the caller may have left
}

// refuse answers that the engine did not run the request.
func (e *engine) refuse(w http.ResponseWriter, id, why string) {
	e.fleet.record.line("engine %s does not run %s: %s", e.id, id, why)
	w.Header().Set(headerAttempt, id)
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerAttempt)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if expected := r.Header.Get(headerExpected); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.fleet.mutex.Lock()
	e.fleet.reached[id] = true
	e.fleet.mutex.Unlock()
	e.fleet.record.line("%s reaches engine %s, deadline in %s ms", id, e.id, r.Header.Get(headerDeadline))
	if r.Header.Get(headerUsage) == "" {
		e.serveCall(w, r, id)
		return
	}
	e.serveStream(w, r, id)
}

// serveCall runs a request of an application.
func (e *engine) serveCall(w http.ResponseWriter, r *http.Request, id string) {
	ended := e.fleet.began(id, e, false, r.Header.Get(headerWorkspace))
	time.Sleep(e.work)
	w.Header().Set(headerAttempt, id)
	w.Header().Set(headerSigned, "s-"+e.id+"-"+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", e.service, id) // the caller may have left
	ended("200")
}

// output is the connection on which a stream is answered.
type output struct {
	connection net.Conn
	chunked    bool
	gone       chan struct{} // closed when the caller has closed the connection
}

// open takes the connection of a request.
func (e *engine) open(w http.ResponseWriter, id string) (*output, error) {
	connection, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	o := &output{connection: connection, chunked: e.unframed == nil || !e.unframed(id), gone: make(chan struct{})}
	go o.watch(buffered.Reader)
	return o, nil
}

// head sends the head of the answer.
func (o *output) head(e *engine, id string) {
	head := "HTTP/1.1 200 OK\r\n" + headerAttempt + ": " + id + "\r\n" + headerSigned + ": s-" + e.id + "-" + id + "\r\nContent-Type: text/event-stream\r\n"
	if o.chunked {
		head += "Transfer-Encoding: chunked\r\n"
	}
	_, _ = io.WriteString(o.connection, head+"\r\n") // the caller may have left
}

// worksOn reports whether the engine goes on with a run whose caller has closed the connection.
func (e *engine) worksOn() bool { return e.lingers != nil && e.lingers() }

// isGone reports whether the caller has closed the connection.
func (o *output) isGone() bool {
	select {
	case <-o.gone:
		return true
	default:
		return false
	}
}

// watch notices that the caller closes the connection.
func (o *output) watch(r *bufio.Reader) {
	_, _ = io.Copy(io.Discard, r) // the end is what is waited for
	close(o.gone)
}

func (o *output) event(data string) {
	if o.chunked {
		data = fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
	}
	_, _ = io.WriteString(o.connection, data) // the caller may have left
}

// end closes the connection; a whole answer ends with its last chunk.
func (o *output) end(whole bool) {
	if whole && o.chunked {
		_, _ = io.WriteString(o.connection, "0\r\n\r\n") // the caller may have left
	}
	_ = o.connection.Close()
}

// admit takes the memory of a run, and reports whether there is enough.
func (e *engine) admit(prompt int) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.used+prompt > memoryTokens {
		return false
	}
	e.used += prompt
	e.running++
	return true
}

// read reads the prompt of a new run, one prompt after the other.
func (e *engine) read(prompt int) {
	e.prefill.Lock()
	defer e.prefill.Unlock()
	time.Sleep(time.Duration(prompt/prefillPerMS) * time.Millisecond)
}

func (e *engine) release(r *run) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.used -= r.prompt + r.events()*tokensPerEvent
	e.running--
}

// pause is the time between two events.
func (e *engine) pause() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	step := (stepMS + stepMSPerRun*float64(e.running-1)) * e.speed
	return time.Duration(step * tokensPerEvent * float64(time.Millisecond))
}

// serveStream makes a stream, from its beginning or from a copy of its run's memory.
func (e *engine) serveStream(w http.ResponseWriter, r *http.Request, id string) {
	first, _, _ := strings.Cut(r.Header.Get(headerUsage), ",")
	prompt, err := strconv.Atoi(first)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	after := 0
	if text := r.Header.Get(headerLastEvent); text != "" {
		if after, err = strconv.Atoi(text); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	from := r.Header.Get(headerFrom)
	if from != "" && !e.take(from) {
		e.refuse(w, id, "no copy "+from)
		return
	}
	if !e.admit(prompt) {
		e.refuse(w, id, "full")
		return
	}
	current := &run{made: after, stopped: make(chan struct{}), prompt: prompt}
	defer e.release(current)
	o, err := e.open(w, id)
	if err != nil {
		return
	}
	if from == "" {
		e.read(prompt)
	}
	if o.isGone() && !e.worksOn() {
		e.fleet.record.line("engine %s drops %s: its caller has left", e.id, id)
		return
	}
	e.mutex.Lock()
	e.runs[id] = current
	e.used += after * tokensPerEvent
	e.mutex.Unlock()
	ended := e.fleet.began(id, e, from != "", r.Header.Get(headerWorkspace))
	o.head(e, id)
	ended(e.generate(o, current, id, r.Header.Get(headerBackup)))
}

// generate makes the events of a run and tells how it ended.
func (e *engine) generate(o *output, current *run, id, backup string) string {
	defer func() {
		e.mutex.Lock()
		if e.runs[id] == current {
			delete(e.runs, id)
		}
		e.mutex.Unlock()
	}()
	count, lost := e.fleet.length(id), 0
	if e.losesAt != nil {
		lost = e.losesAt(id)
	}
	for n := current.events() + 1; n <= count; n++ {
		gone := o.gone
		if e.worksOn() {
			gone = nil
		}
		select {
		case <-current.stopped:
			o.end(false)
			return fmt.Sprintf("stopped after event %d of %d", n-1, count)
		case <-gone:
			o.end(false)
			return fmt.Sprintf("caller left after event %d of %d", n-1, count)
		case <-e.stopped:
			o.end(false)
			return "engine ends"
		case <-time.After(e.pause()):
		}
		current.mutex.Lock()
		current.made = n
		current.mutex.Unlock()
		e.mutex.Lock()
		e.used += tokensPerEvent
		e.mutex.Unlock()
		o.event(eventText(id, n, count))
		if backup != "" && n%backupEvents == 0 {
			e.sendBackup(backup, id, n)
		}
		if n == lost {
			e.fleet.record.line("engine %s loses the answer to %s after event %d, and works on", e.id, id, n)
			o.end(false)
		}
	}
	o.end(true)
	return fmt.Sprintf("whole, %d events", count)
}

// eventText is one event of a stream; the last one says so.
func eventText(id string, n, count int) string {
	last := ""
	if n == count {
		last = " last"
	}
	return fmt.Sprintf("id: %d\ndata: %s-%d%s\n\n", n, id, n, last)
}

// sendBackup has another engine keep a run's memory.
func (e *engine) sendBackup(address, id string, made int) {
	if other := e.fleet.at(address); other != nil {
		other.mutex.Lock()
		other.copies[address+"/"+id] = made
		other.mutex.Unlock()
	}
}

// take uses a copy, once.
func (e *engine) take(name string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_, found := e.copies[name]
	delete(e.copies, name)
	return found
}
