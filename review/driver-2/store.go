package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRecord is one keyed record; without a value its key is dropped.
type storeRecord struct {
	key   string
	value []byte
}

// store is a stand-in of the platform's metadata store: keyed topics with one partition.
type store struct {
	listener net.Listener
	mutex    sync.Mutex
	topics   map[string][]storeRecord
	change   chan struct{}
}

func newStore() (*store, error) {
	s := &store{topics: make(map[string][]storeRecord), change: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.listener = listener
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/log-newest", s.newest)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("POST /v1/log-append", s.append)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put appends a record and returns its offset; its return is the acknowledgement.
func (s *store) put(topic, key string, value []byte) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.change)
	s.change = make(chan struct{})
	return len(s.topics[topic]) - 1
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mutex.Lock()
	latest := make(map[string]item)
	records := s.topics[r.URL.Query().Get("topic")]
	for offset, record := range records {
		latest[record.key] = item{record.key, base64.StdEncoding.EncodeToString(record.value), offset}
		if len(record.value) == 0 {
			delete(latest, record.key)
		}
	}
	end := len(records)
	s.mutex.Unlock()
	items := make([]item, 0, len(latest))
	for _, i := range latest {
		items = append(items, i)
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end_offset": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	late := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mutex.Lock()
		change, records := s.change, s.topics[query.Get("topic")]
		s.mutex.Unlock()
		if from < len(records) || !waiting {
			_, _ = w.Write(encodeRecords(records, from))
			return
		}
		select {
		case <-change:
		case <-late:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRecords writes the end, the first offset kept, and the records from an offset on.
func encodeRecords(records []storeRecord, from int) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, r := range records[min(from, len(records)):] {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(r.key)+len(r.value)))
		data = append(append(append(data, byte(len(r.key))), r.key...), r.value...)
	}
	return data
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || int(binary.BigEndian.Uint32(body)) != len(body)-4 || 5+int(body[4]) > len(body) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key := 5 + int(body[4])
	offset := s.put(r.URL.Query().Get("topic"), string(body[5:key]), body[key:])
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": offset, "end_offset": offset + 1})
}
