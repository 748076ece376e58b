package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the milliseconds since its start.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

// newRecord creates the file of a record.
func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// line writes one line.
func (r *record) line(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	text := fmt.Sprintf(format, arguments...)
	if _, err := fmt.Fprintf(r.file, "%8d ms  %s\n", time.Since(r.start).Milliseconds(), text); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}

// close ends the record.
func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}
