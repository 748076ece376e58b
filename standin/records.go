package standin

import (
	"time"

	"dogwooddyke/state/record"
)

// stream is one stream of the log; the log's mutex guards it.
type stream struct {
	first   uint64 // offset of the oldest record retained, or of the next one
	records []record.Record
	changed chan struct{} // closed and replaced at each append
}

func newStream() *stream { return &stream{first: 1, changed: make(chan struct{})} }

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) append(data []byte, now time.Time, config *LogConfig) uint64 {
	offset := s.next()
	s.records = append(s.records, record.Record{Offset: offset, Data: data, Time: now})
	s.expire(now, config)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// expire drops the records that are too old or too many.
func (s *stream) expire(now time.Time, config *LogConfig) {
	count := max(len(s.records)-config.Records, 0)
	for config.Retention > 0 && count < len(s.records) && now.Sub(s.records[count].Time) > config.Retention {
		count++
	}
	clear(s.records[:count])
	s.records = s.records[count:]
	s.first += uint64(count)
}

// read returns at most limit records from the offset on that are not younger than the time given.
func (s *stream) read(from uint64, limit int, latest time.Time) []record.Record {
	from = max(from, s.first)
	if from >= s.next() {
		return nil
	}
	found := s.records[from-s.first:]
	found = found[:min(len(found), limit)]
	size := 0
	for i, r := range found {
		size += len(r.Data)
		if r.Time.After(latest) || i > 0 && size > maximumPage {
			return found[:i:i]
		}
	}
	return found[:len(found):len(found)]
}
