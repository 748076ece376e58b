package capacity

import (
	"context"
	"sync"
	"time"

	"dogwooddyke/state/record"
)

// appendLatency is what one append to the measured log takes, so that claims gather into groups as they would.
const appendLatency = 5 * time.Millisecond

// ledger is a log in memory that counts what is appended; reads do not wait.
type ledger struct {
	mutex   sync.Mutex
	streams map[string][]record.Record
	appends int
	bytes   int
}

func newLedger() *ledger {
	return &ledger{streams: make(map[string][]record.Record)}
}

// Append keeps the record.
func (l *ledger) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	time.Sleep(appendLatency)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	offset := uint64(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], record.Record{Offset: offset, Data: data, Time: time.Now()})
	l.appends++
	l.bytes += len(data)
	return offset, nil
}

// Read returns the records from the offset on.
func (l *ledger) Read(_ context.Context, stream string, from uint64, _ time.Time) (record.Page, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	records := l.streams[stream]
	page := record.Page{First: 1, Next: uint64(len(records) + 1)}
	if from <= uint64(len(records)) {
		page.Records = append(page.Records, records[from-1:]...)
	}
	return page, nil
}

func (l *ledger) counts() (appends, bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.appends, l.bytes
}
