package caller

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/protocol/answer"
	"dogwooddyke/state/catalogue"
)

// Answers runs generations and goes on with them.
type Answers interface {
	Run(ctx context.Context, request *answer.Request, sink answer.Sink) answer.Result
	Resume(ctx context.Context, token *answer.ResumeToken, request *answer.Request, sink answer.Sink) answer.Result
}

// Tokens checks resume tokens.
type Tokens interface {
	Verify(text, workspace string, now time.Time) (*answer.ResumeToken, error)
}

// Catalogue gives the entries and workspaces in force.
type Catalogue interface {
	View() *catalogue.View
}

// Observer learns of each request as it ends.
type Observer interface {
	Refused(workspace, class, reason string)
	Ended(workspace, class string, outcome answer.Outcome, took time.Duration)
	Begin(workspace, class string) Timing
}

// Timing learns when the tokens of one answer reach the caller.
type Timing interface {
	FirstToken(wait time.Duration)
	BetweenTokens(wait time.Duration)
}

// Config sets up a Handler.
type Config struct {
	Answers          Answers
	Tokens           Tokens
	Calls            Calls
	Catalogue        Catalogue
	Observer         Observer
	MaximumBodyBytes int
	MaximumStreams   int
}

// Handler serves callers.
type Handler struct {
	config   Config
	router   *httprouter.Router
	inFlight atomic.Int64
	unready  atomic.Bool // the balancer is to turn away
	draining atomic.Bool // new work is refused
	able     func() bool
}

// NewHandler returns the handler of the callers' listener; able tells whether the instance can take work.
func NewHandler(config Config, able func() bool) *Handler {
	h := &Handler{config: config, router: httprouter.New(), able: able}
	h.router.POST("/v1/chat/completions", h.work(h.chat))
	h.router.POST("/v1/completions", h.work(h.complete))
	h.router.GET("/v1/models", h.known(h.models))
	h.router.GET("/v1/models/:model", h.known(h.model))
	h.router.GET("/v1/answers/:id", h.work(h.resume))
	h.router.POST("/v1/answers/:id", h.work(h.resume))
	h.router.HandlerFunc(http.MethodGet, "/healthz", h.health)
	h.router.HandlerFunc(http.MethodGet, "/readyz", h.readiness)
	for _, m := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
	} {
		h.router.Handle(m, "/call/:entry/*path", h.work(h.call))
	}
	h.router.RedirectTrailingSlash = false
	h.router.RedirectFixedPath = false
	h.router.NotFound = http.HandlerFunc(h.notFound)
	h.router.MethodNotAllowed = http.HandlerFunc(h.notAllowed)
	return h
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	h.router.ServeHTTP(w, request)
}

// SetUnready says whether the balancer is to turn away; requests are still taken.
func (h *Handler) SetUnready(unready bool) {
	h.unready.Store(unready)
}

// Drain refuses new work from now on; what is in progress goes on.
func (h *Handler) Drain() {
	h.draining.Store(true)
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int {
	return int(h.inFlight.Load())
}

// NewServer returns a server with the bounds and timeouts of the callers' listener.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       0, // set for each body, since answers outlive any fixed bound
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maximumHeaderBytes,
	}
}

// service serves a request of a workspace.
type service func(w http.ResponseWriter, request *http.Request, parameters httprouter.Params, workspace *catalogue.Workspace)

// known serves only callers whose key is a workspace's.
func (h *Handler) known(serve service) httprouter.Handle {
	return func(w http.ResponseWriter, request *http.Request, parameters httprouter.Params) {
		workspace, err := h.workspace(request)
		if err != nil {
			h.refuse(w, "", "", err)
			return
		}
		serve(w, request, parameters, workspace)
	}
}

// work counts what it serves as in progress, and refuses it when the instance takes no work.
func (h *Handler) work(serve service) httprouter.Handle {
	return h.known(func(w http.ResponseWriter, request *http.Request, parameters httprouter.Params, workspace *catalogue.Workspace) {
		if err := h.admit(); err != nil {
			h.refuse(w, workspace.Name, "", err)
			return
		}
		defer h.leave()
		serve(w, request, parameters, workspace)
	})
}

// admit counts the request in, or refuses it when the instance drains, has no catalogue or is full.
func (h *Handler) admit() error {
	retryAt := time.Now().Add(elsewherePause)
	if !h.able() {
		return takesNoWork(codeNotReady, retryAt)
	}
	if h.inFlight.Add(1) > int64(h.config.MaximumStreams) {
		h.leave()
		return takesNoWork(codeFull, retryAt)
	}
	// Whoever waits for the count to reach zero after the flag is set must not miss this request, so it is counted first.
	if h.draining.Load() {
		h.leave()
		return takesNoWork(string(routing.ReasonDraining), retryAt)
	}
	return nil
}

func (h *Handler) leave() {
	h.inFlight.Add(-1)
}

// workspace finds the workspace by the bearer key, of which only the hash is known here.
func (h *Handler) workspace(request *http.Request) (*catalogue.Workspace, error) {
	scheme, key, _ := strings.Cut(request.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maximumKeyBytes {
		return nil, unauthorized()
	}
	w, ok := h.config.Catalogue.View().WorkspaceByKey(sha256.Sum256([]byte(key)))
	if !ok {
		return nil, unauthorized()
	}
	return w, nil
}

// entry finds an entry of the kind that is open to the workspace.
func (h *Handler) entry(name string, kind catalogue.Kind, workspace *catalogue.Workspace) (*catalogue.Entry, error) {
	e, ok := h.config.Catalogue.View().Entry(name)
	if !ok || e.Kind != kind || !e.Allows(workspace.Name) {
		return nil, unknownModel(name)
	}
	return e, nil
}

// refuse tells the caller and the observer why a request was not served.
func (h *Handler) refuse(w http.ResponseWriter, workspace, class string, err error) {
	r, ok := errors.AsType[*refusal](err)
	if !ok {
		r = &refusal{status: http.StatusInternalServerError, kind: "server_error", code: "internal", message: err.Error(), outcome: answer.OutcomeUnknown}
	}
	h.config.Observer.Refused(workspace, class, r.code)
	r.write(w, time.Now())
}

func (h *Handler) notFound(w http.ResponseWriter, request *http.Request) {
	r := &refusal{
		status: http.StatusNotFound, kind: "invalid_request_error", code: "not_found",
		message: "there is nothing at " + request.URL.Path, outcome: answer.OutcomeNotRun,
	}
	r.write(w, time.Now())
}

func (h *Handler) notAllowed(w http.ResponseWriter, request *http.Request) {
	r := &refusal{
		status: http.StatusMethodNotAllowed, kind: "invalid_request_error", code: "method_not_allowed",
		message: request.Method + " is not served at " + request.URL.Path, outcome: answer.OutcomeNotRun,
	}
	r.write(w, time.Now())
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (h *Handler) readiness(w http.ResponseWriter, _ *http.Request) {
	if h.unready.Load() || !h.able() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// newID returns an answer id; its version 7 UUID carries the time of birth.
func newID() string {
	return "answer-" + uuid.Must(uuid.NewV7()).String()
}
