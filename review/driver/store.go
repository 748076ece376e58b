package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	storeDelay    = 4 * time.Millisecond // of an answer
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
)

// keyedRecord is one record of a keyed topic; without a value its key is dropped.
type keyedRecord struct {
	key   string
	value []byte
}

// topic is partition 0 of a keyed topic.
type topic struct {
	records []keyedRecord
	newest  map[string]int // offsets
}

// store is a stand-in of the platform's log, with keyed topics of one partition.
type store struct {
	mutex   sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed at the next append
	server  *http.Server
	address string
}

// newStore starts a store.
func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{topics: make(map[string]*topic), changed: make(chan struct{}), address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	mux.HandleFunc("POST /v1/log-append", s.serveAppend)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }() // ends with the store
	return s, nil
}

// close ends the store.
func (s *store) close() { _ = s.server.Close() }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int)}
		s.topics[name] = t
	}
	return t
}

// put appends a record and returns its offset; it is the operator's and the engines' call.
func (s *store) put(name, key string, value []byte) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	offset := len(t.records)
	t.records = append(t.records, keyedRecord{key, value})
	t.newest[key] = offset
	if len(value) == 0 {
		delete(t.newest, key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// putJSON appends a record whose value is the JSON of a value.
func (s *store) putJSON(name, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.put(name, key, data)
	return nil
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mutex.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for offset, kept := range t.records {
		if at, found := t.newest[kept.key]; found && at == offset {
			items = append(items, item{kept.key, base64.StdEncoding.EncodeToString(kept.value), offset})
		}
	}
	end := len(t.records)
	s.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end_offset": end}) // the caller may have left
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait := 0
	if text := query.Get("wait_ms"); text != "" {
		if wait, err = strconv.Atoi(text); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mutex.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		records := t.records[min(from, len(t.records)):]
		end := len(t.records)
		s.mutex.Unlock()
		if len(records) > 0 || over {
			_, _ = w.Write(encodeRecords(end, records)) // the caller may have left
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRecords gives the end, the first offset that is kept (0) and the records.
func encodeRecords(end int, records []keyedRecord) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(end))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, r := range records {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(r.key)+len(r.value)))
		data = append(data, byte(len(r.key)))
		data = append(append(data, r.key...), r.value...)
	}
	return data
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || int(binary.BigEndian.Uint32(body)) != len(body)-4 || len(body) < 5+int(body[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := r.URL.Query().Get("topic")
	if name == topicOperator || name == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	key := 5 + int(body[4])
	offset := s.put(name, string(body[5:key]), body[key:])
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": offset, "end_offset": offset + 1}) // the caller may have left
}
