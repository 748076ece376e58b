package standin

import (
	"bytes"
	"cmp"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceConfig says what a plain service is; a zero limit is none.
type ServiceConfig struct {
	Name        string
	Latency     time.Duration // of each run
	Concurrency int           // runs at once; more are refused as not run
}

// Service is a stand-in of a plain service; it runs what it is asked, also twice, and counts.
type Service struct {
	*server
	config   ServiceConfig
	keys     *tally // runs by Idempotency-Key
	requests *tally // runs by request id
	runs     atomic.Int64
	actions  atomic.Int64
	doubles  atomic.Int64
	crashes  atomic.Int64
	slots    chan struct{}
}

// NewService makes a plain service.
func NewService(config ServiceConfig) *Service {
	s := &Service{
		server: newServer(FaultDie, FaultStall, FaultSilence, FaultDropAnswer, FaultLose, FaultSlow, FaultOutage,
			FaultPause, FaultCrashOn),
		config:   config,
		keys:     newTally(),
		requests: newTally(),
	}
	if config.Concurrency > 0 {
		s.slots = make(chan struct{}, config.Concurrency)
	}
	s.losesRequests, s.holdsAnswers = true, true
	s.handler = http.HandlerFunc(s.serveRun)
	return s
}

// RunsOfKey returns how often actions ran with the Idempotency-Key.
func (s *Service) RunsOfKey(key string) int { return s.keys.count(key) }

// RunsOfRequest returns how often actions ran with the request id.
func (s *Service) RunsOfRequest(id string) int { return s.requests.count(id) }

// Actions returns how many calls that may not be repeated ran.
func (s *Service) Actions() int { return int(s.actions.Load()) }

// Runs returns how many calls ran, look-ups included.
func (s *Service) Runs() int { return int(s.runs.Load()) }

// Doubles returns how many actions ran again under a key or a request id that had run before.
func (s *Service) Doubles() int { return int(s.doubles.Load()) }

// Crashes returns how often the service has crashed under a call that crashes it.
func (s *Service) Crashes() int { return int(s.crashes.Load()) }

// run is the answer to a call.
type run struct {
	Service  string `json:"service"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Run      int    `json:"run"`              // number of this run, from 1
	Key      string `json:"key,omitempty"`    // Idempotency-Key
	KeyRun   int    `json:"keyRun,omitempty"` // number of this run under the key, from 1
	Request  string `json:"request,omitempty"`
	BodyHash uint64 `json:"bodyHash,string"` // xxhash64 of the request's body
}

func (s *Service) serveRun(w http.ResponseWriter, r *http.Request) {
	if !s.enter() {
		w.Header().Set(headerRetry, "1")
		refuse(w, http.StatusServiceUnavailable, outcomeNotRun, "too many runs at once")
		return
	}
	defer s.exit()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		refuse(w, http.StatusBadRequest, outcomeNotRun, "body: "+err.Error())
		return
	}
	done := s.count(r, body)
	s.crashOn(w, r, body)
	if !s.delay(s.config.Latency) {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, done)
}

// crashOn has the service crash if the call is one that crashes it.
func (s *Service) crashOn(w http.ResponseWriter, r *http.Request, body []byte) {
	fault, found := s.faults.find(FaultCrashOn)
	if !found || !strings.Contains(r.RequestURI, fault.Text) && !bytes.Contains(body, []byte(fault.Text)) {
		return
	}
	if fault.Value > 0 {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("a part"))          // the caller has left
		_ = http.NewResponseController(w).Flush() // the same
	}
	s.crashes.Add(1)
	s.crash(time.Now())
	<-r.Context().Done() // its connections are cut
	panic(http.ErrAbortHandler)
}

// count notes the run; look-ups are not counted by key or request, as they may be repeated.
func (s *Service) count(r *http.Request, body []byte) run {
	done := run{
		Service:  s.config.Name,
		Method:   r.Method,
		Path:     r.URL.Path,
		Key:      r.Header.Get(headerKey),
		Request:  cmp.Or(r.Header.Get(headerRequest), r.Header.Get("X-"+headerRequest)),
		BodyHash: xxhash.Sum64(body),
		Run:      int(s.runs.Add(1)),
	}
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return done
	}
	s.actions.Add(1)
	requestRun := 0
	if done.Key != "" {
		done.KeyRun = s.keys.add(done.Key)
	}
	if done.Request != "" {
		requestRun = s.requests.add(done.Request)
	}
	if done.KeyRun > 1 || requestRun > 1 {
		s.doubles.Add(1)
	}
	return done
}

func (s *Service) enter() bool {
	if s.slots == nil {
		return true
	}
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *Service) exit() {
	if s.slots != nil {
		<-s.slots
	}
}
