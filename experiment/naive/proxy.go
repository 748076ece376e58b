package naive

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"
)

const (
	maximumBodyBytes = 4 << 20
	copyBytes        = 16 << 10
	idleTimeout      = 30 * time.Second
)

// Entry is one service and its endpoints.
type Entry struct {
	Name      string
	Endpoints []netip.AddrPort
}

// Proxy passes each request to the next endpoint of its entry, whatever state that is in.
type Proxy struct {
	entries []*rotation
	http    *http.Client
}

// rotation gives the endpoints of an entry in turn.
type rotation struct {
	entry Entry
	next  atomic.Uint64
}

// New returns a proxy before the entries.
func New(entries []Entry) *Proxy {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: idleTimeout, DisableCompression: true}
	p := &Proxy{http: &http.Client{Transport: transport}}
	for _, e := range entries {
		p.entries = append(p.entries, &rotation{entry: e})
	}
	return p
}

// Close closes idle connections.
func (p *Proxy) Close() {
	p.http.CloseIdleConnections()
}

// ServeHTTP takes the paths that callers use at an instance, but for resumption.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maximumBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name, path := locate(r.URL.Path, body)
	endpoint, ok := p.pick(name)
	if !ok {
		http.Error(w, "unknown entry", http.StatusNotFound)
		return
	}
	p.forward(w, r, "http://"+endpoint.String()+path, body)
}

// locate returns the entry that a request is for and the path at its endpoint.
func locate(path string, body []byte) (name, rest string) {
	if call, ok := strings.CutPrefix(path, "/call/"); ok {
		name, rest, _ = strings.Cut(call, "/")
		return name, "/" + rest
	}
	var request struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return "", path
	}
	return request.Model, path
}

func (p *Proxy) pick(name string) (netip.AddrPort, bool) {
	for _, r := range p.entries {
		if r.entry.Name == name && len(r.entry.Endpoints) > 0 {
			at := r.next.Add(1) % uint64(len(r.entry.Endpoints))
			return r.entry.Endpoints[at], true
		}
	}
	return netip.AddrPort{}, false
}

func (p *Proxy) forward(w http.ResponseWriter, r *http.Request, url string, body []byte) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, url, bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request.Header = r.Header.Clone()
	response, err := p.http.Do(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	if err := relay(w, response.Body); err != nil {
		panic(http.ErrAbortHandler) // the caller must not take a cut answer for a whole one
	}
}

// relay copies and flushes what has come after each read.
func relay(w http.ResponseWriter, body io.Reader) error {
	flusher := http.NewResponseController(w)
	buffer := make([]byte, copyBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			_ = flusher.Flush() // a writer that can't flush still gets all at the end
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
