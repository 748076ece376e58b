package standin

import (
	"cmp"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"dogwooddyke/state/record"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"
)

// LogConfig says what a log is; zero limits are none, but for what memory bounds.
type LogConfig struct {
	Rate      float64       // appends per second over all streams
	Burst     int           // appends at once
	Retention time.Duration // age at which records go
	Records   int           // kept of each stream
	Latency   time.Duration // of each call
}

// Log is a stand-in of the platform's append-only log; it keeps its records in memory, through die too.
type Log struct {
	*server
	config   LogConfig
	limiter  *rate.Limiter
	logMutex sync.Mutex
	streams  map[string]*stream
	appended int
	limited  int
}

// NewLog makes an empty log.
func NewLog(config LogConfig) *Log {
	config.Records = cmp.Or(config.Records, defaultRecords)
	l := &Log{
		server: newServer(FaultDie, FaultStall, FaultSilence, FaultDropAnswer, FaultLose, FaultLag, FaultSlow,
			FaultOutage, FaultPause),
		config:  config,
		limiter: newLimiter(config.Rate, config.Burst),
		streams: make(map[string]*stream),
	}
	l.latency = config.Latency
	l.losesRequests, l.holdsAnswers = true, true
	router := httprouter.New()
	router.POST("/streams/:stream", l.serveAppend)
	router.GET("/streams/:stream", l.serveRead)
	l.handler = router
	return l
}

func newLimiter(perSecond float64, burst int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(burst, int(math.Ceil(perSecond/10)), 1))
}

// Append adds a record past all limits and faults and returns its offset; 0 when there are too many streams.
func (l *Log) Append(stream string, data []byte) uint64 {
	l.logMutex.Lock()
	defer l.logMutex.Unlock()
	s := l.open(stream)
	if s == nil {
		return 0
	}
	l.appended++
	return s.append(data, time.Now(), &l.config)
}

// Records returns what is retained of a stream.
func (l *Log) Records(stream string) []record.Record {
	l.logMutex.Lock()
	defer l.logMutex.Unlock()
	s, ok := l.streams[stream]
	if !ok {
		return nil
	}
	now := time.Now()
	s.expire(now, &l.config)
	return s.read(1, len(s.records), now)
}

// Appends returns how many records were appended and how many appends the rate refused.
func (l *Log) Appends() (appended, limited int) {
	l.logMutex.Lock()
	defer l.logMutex.Unlock()
	return l.appended, l.limited
}

// open returns the stream, made if need be; nil when there are too many.
func (l *Log) open(name string) *stream {
	if s, ok := l.streams[name]; ok {
		return s
	}
	if len(l.streams) >= maximumStreams {
		return nil
	}
	s := newStream()
	l.streams[name] = s
	return s
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		refuse(w, http.StatusBadRequest, outcomeNotRun, "body: "+err.Error())
		return
	}
	if !l.limiter.Allow() {
		l.logMutex.Lock()
		l.limited++
		l.logMutex.Unlock()
		w.Header().Set(headerRetry, "1")
		refuse(w, http.StatusTooManyRequests, outcomeNotRun, "append rate exceeded")
		return
	}
	offset := l.Append(params.ByName("stream"), data)
	if offset == 0 {
		refuse(w, http.StatusInsufficientStorage, outcomeNotRun, "too many streams")
		return
	}
	reply(w, http.StatusCreated, struct {
		Offset uint64 `json:"offset"`
	}{offset})
}
