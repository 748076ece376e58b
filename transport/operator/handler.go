package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dogwooddyke/state/explanation"
)

// Timeouts and bounds of the operators' listener.
const (
	headerTimeout      = 5 * time.Second
	requestTimeout     = 30 * time.Second
	maximumHeaderBytes = 16 << 10
)

// Config sets up the handler.
type Config struct {
	Registry *prometheus.Registry
	Ready    func() bool
	Status   func() Status
	Explain  func(ctx context.Context, id string) (explanation.Explanation, bool)
}

// NewServer returns the server of the operators' listener.
func NewServer(config Config) *http.Server {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(config.Registry, promhttp.HandlerOpts{}))
	router.HandlerFunc(http.MethodGet, "/healthz", health)
	router.HandlerFunc(http.MethodGet, "/readyz", config.readiness)
	router.HandlerFunc(http.MethodGet, "/status", config.status)
	router.GET("/explain/:id", config.explain)
	return &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		MaxHeaderBytes:    maximumHeaderBytes,
	}
}

func health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (c Config) readiness(w http.ResponseWriter, _ *http.Request) {
	if !c.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (c Config) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, c.Status())
}

func (c Config) explain(w http.ResponseWriter, request *http.Request, parameters httprouter.Params) {
	found, ok := c.Explain(request.Context(), parameters.ByName("id"))
	if !ok {
		http.Error(w, "no decision is kept for this id", http.StatusNotFound)
		return
	}
	writeJSON(w, found)
}

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}
