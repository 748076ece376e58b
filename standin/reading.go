package standin

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"dogwooddyke/state/record"

	"github.com/julienschmidt/httprouter"
)

// errOutage reports a log that went out while a read waited.
var errOutage = errors.New("outage")

// reading is one read of a stream.
type reading struct {
	stream string
	from   uint64
	limit  int
	until  time.Time // to wait for a first record; zero: not at all
}

// page is the answer to a reading.
type page struct {
	First   uint64       `json:"first"`
	Next    uint64       `json:"next"`
	Records []pageRecord `json:"records"`
}

type pageRecord struct {
	Offset uint64    `json:"offset"`
	Data   []byte    `json:"data"`
	Time   time.Time `json:"time"`
}

// parseReading reads a reading from a query; errors wrap ErrRequest and name the field.
func parseReading(stream string, query url.Values, now time.Time) (reading, error) {
	asked := reading{stream: stream, from: 1, limit: defaultPage}
	if text := query.Get("from"); text != "" {
		from, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return reading{}, fmt.Errorf("%w: from: not a whole number", ErrRequest)
		}
		asked.from = from
	}
	if text := query.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 {
			return reading{}, fmt.Errorf("%w: limit: not a whole number from 1", ErrRequest)
		}
		asked.limit = min(limit, maximumRecords)
	}
	if text := query.Get("until"); text != "" {
		until, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return reading{}, fmt.Errorf("%w: until: not a time in RFC 3339", ErrRequest)
		}
		asked.until = until
		if latest := now.Add(maximumPoll); until.After(latest) {
			asked.until = latest
		}
	}
	return asked, nil
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	asked, err := parseReading(params.ByName("stream"), r.URL.Query(), time.Now())
	if err != nil {
		refuse(w, http.StatusBadRequest, outcomeNotRun, err.Error())
		return
	}
	found, err := l.poll(r, asked)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, outcomeNotRun, err.Error())
		return
	}
	reply(w, http.StatusOK, found)
}

// poll reads, waiting for a first record until the time asked for.
func (l *Log) poll(r *http.Request, asked reading) (page, error) {
	for {
		faults := l.faults.change()
		if !l.faults.wait(FaultPause, l.closed) {
			return page{}, ErrClosed
		}
		if _, out := l.faults.find(FaultOutage); out {
			return page{}, errOutage
		}
		now := time.Now()
		found, changed, retry := l.read(asked, now)
		if len(found.Records) > 0 || !now.Before(asked.until) {
			return found, nil
		}
		if retry.IsZero() || retry.After(asked.until) {
			retry = asked.until
		}
		if !l.awaitChange(r, retry, changed, faults) {
			return page{}, ErrClosed
		}
	}
}

// awaitChange returns at the time, after an append or a change of faults; false when the reader has left or the log closes.
func (l *Log) awaitChange(r *http.Request, until time.Time, appended, faults <-chan struct{}) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-appended:
	case <-faults:
	case <-r.Context().Done():
		return false
	case <-l.closed:
		return false
	}
	return true
}

// read returns what is visible, what tells of the next append, and when a record that lags becomes visible (zero: none does).
func (l *Log) read(asked reading, now time.Time) (found page, changed <-chan struct{}, retry time.Time) {
	var lag time.Duration
	if fault, ok := l.faults.find(FaultLag); ok {
		lag = seconds(fault.Value)
	}
	l.logMutex.Lock()
	defer l.logMutex.Unlock()
	s := l.open(asked.stream)
	if s == nil {
		return page{First: 1, Next: asked.from, Records: []pageRecord{}}, nil, time.Time{}
	}
	s.expire(now, &l.config)
	if hidden := s.read(asked.from, 1, now); lag > 0 && len(hidden) > 0 {
		retry = hidden[0].Time.Add(lag)
	}
	return newPage(s.first, asked.from, s.read(asked.from, asked.limit, now.Add(-lag))), s.changed, retry
}

func newPage(first, from uint64, records []record.Record) page {
	found := page{First: first, Next: max(from, first), Records: make([]pageRecord, 0, len(records))}
	for _, r := range records {
		found.Records = append(found.Records, pageRecord(r))
		found.Next = r.Offset + 1
	}
	return found
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
