package logtest

import (
	"context"
	"slices"
	"sync"
	"time"

	"dogwooddyke/state/record"
)

const pageRecords = 100

// Log keeps all streams in memory; it implements record.Log.
type Log struct {
	mu      sync.Mutex // guards streams
	streams map[string]*stream
}

type stream struct {
	records []record.Record
	first   uint64
	news    chan struct{}
}

// New returns an empty log.
func New() *Log { return &Log{streams: map[string]*stream{}} }

// open returns the stream; mu is held.
func (l *Log) open(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, news: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Append adds the record and wakes readers.
func (l *Log) Append(_ context.Context, name string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.open(name)
	offset := uint64(len(s.records) + 1)
	s.records = append(s.records, record.Record{Offset: offset, Data: data, Time: time.Now()})
	close(s.news)
	s.news = make(chan struct{})
	return offset, nil
}

// Read returns what is retained from the offset on, waiting for it until the deadline.
func (l *Log) Read(ctx context.Context, name string, from uint64, deadline time.Time) (record.Page, error) {
	for {
		page, news := l.page(name, from)
		if len(page.Records) > 0 || !deadline.After(time.Now()) {
			return page, nil
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-ctx.Done():
			return record.Page{}, ctx.Err()
		case <-timer.C:
		case <-news:
		}
		timer.Stop()
	}
}

func (l *Log) page(name string, from uint64) (record.Page, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.open(name)
	page := record.Page{First: s.first, Next: max(from, s.first)}
	if page.Next <= uint64(len(s.records)) {
		rest := s.records[page.Next-1:]
		page.Records = slices.Clone(rest[:min(len(rest), pageRecords)])
		page.Next += uint64(len(page.Records))
	}
	return page, s.news
}

// Head returns the offset of the last record.
func (l *Log) Head(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint64(len(l.open(name).records))
}

// Retain drops all records before the offset.
func (l *Log) Retain(name string, first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open(name).first = first
}

// Replace puts other records in place of the stream's and returns those; it is the fault of a log that loses its state.
func (l *Log) Replace(name string, records []record.Record) []record.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.open(name)
	former := s.records
	s.records = records
	return former
}
