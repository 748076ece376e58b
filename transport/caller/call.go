package caller

import (
	"cmp"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/protocol/answer"
	"dogwooddyke/protocol/call"
	"dogwooddyke/state/catalogue"
)

// Timeouts of a service's entry that sets none.
const (
	defaultCallQueueTimeout = 10 * time.Second
	defaultCallTimeout      = 60 * time.Second
)

// Calls runs calls of plain services.
type Calls interface {
	Run(ctx context.Context, request *call.Request, sink call.Sink) call.Result
}

// call serves one call of a plain service.
func (h *Handler) call(w http.ResponseWriter, request *http.Request, parameters httprouter.Params, workspace *catalogue.Workspace) {
	entry, err := h.entry(parameters.ByName("entry"), catalogue.KindService, workspace)
	if err != nil {
		h.refuse(w, workspace.Name, "", err)
		return
	}
	body, err := h.readBody(w, request)
	if err != nil {
		h.refuse(w, workspace.Name, entry.Class, err)
		return
	}
	asked := newCall(request, workspace, entry, body)
	began := time.Now()
	w.Header().Set(headerAnswer, asked.ID)
	result := h.config.Calls.Run(request.Context(), asked, &callSink{writer: w})
	h.config.Observer.Ended(workspace.Name, entry.Class, result.Outcome, time.Since(began))
	h.endCall(w, asked, result)
}

func newCall(request *http.Request, workspace *catalogue.Workspace, entry *catalogue.Entry, body []byte) *call.Request {
	now := time.Now()
	asked := &call.Request{
		ID:        newID(),
		Entry:     entry.Name,
		Workspace: workspace.Name,
		Class:     entry.Class,
		Method:    request.Method,
		Path:      pathOf(request),
		Header:    request.Header,
		Body:      body,
		Key:       request.Header.Get(headerIdempotency),
		KeyRule:   entry.KeyRule,
		Deadline:  now.Add(cmp.Or(entry.AnswerTimeout, defaultCallTimeout)),
	}
	asked.Spec = routing.RequestSpec{
		ID:        asked.ID,
		Entry:     entry.Name,
		Workspace: workspace.Name,
		Class:     entry.Class,
		Priority:  entry.Priority,
		Deadline:  now.Add(cmp.Or(entry.QueueTimeout, defaultCallQueueTimeout)),
	}
	return asked
}

// pathOf returns what follows the entry, with the query, as the caller escaped it.
func pathOf(request *http.Request) string {
	_, path, _ := strings.Cut(strings.TrimPrefix(request.URL.EscapedPath(), "/call/"), "/")
	path = "/" + path
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	return path
}

// endCall tells the caller of a call that gave no whole response what became of it.
func (h *Handler) endCall(w http.ResponseWriter, asked *call.Request, result call.Result) {
	switch {
	case result.Outcome == answer.OutcomeFinished || result.Reason == call.ReasonCallerLeft:
		return
	case result.Begun:
		// The response is cut where the service's was, so that the caller sees that it is not whole.
		panic(http.ErrAbortHandler)
	}
	h.refuse(w, asked.Workspace, asked.Class, callRefusal(result))
}

// callRefusal tells why a call gave no response.
func callRefusal(result call.Result) *refusal {
	r := &refusal{
		status: http.StatusServiceUnavailable, kind: "server_error", code: string(result.Reason),
		message: callMessage(result), outcome: result.Outcome, retryAt: result.RetryAt,
	}
	switch result.Reason {
	case call.ReasonKeyMissing, call.ReasonKeyInvalid, call.ReasonKeyWindow:
		r.status, r.kind, r.param = http.StatusBadRequest, "invalid_request_error", headerIdempotency
	case call.ReasonKeyReused:
		r.status, r.kind, r.param = http.StatusUnprocessableEntity, "invalid_request_error", headerIdempotency
	case call.ReasonResultUnknown:
		r.status = http.StatusConflict
	case call.Reason(routing.ReasonWorkspaceLimit):
		r.status, r.kind = http.StatusTooManyRequests, "rate_limit_error"
	default:
		if result.Outcome != answer.OutcomeNotRun {
			r.status = http.StatusBadGateway
		}
	}
	return r
}

func callMessage(result call.Result) string {
	switch result.Outcome {
	case answer.OutcomeNotRun:
		return "the call was not run: " + string(result.Reason)
	case answer.OutcomeInterrupted:
		return "the call ran, but its response is not whole: " + string(result.Reason)
	default:
		return "it is not known whether the call ran: " + string(result.Reason)
	}
}

// callSink writes a service's response.
type callSink struct {
	writer http.ResponseWriter
}

// Begin writes the status and headers.
func (s *callSink) Begin(status int, header http.Header) error {
	for name, values := range header {
		s.writer.Header()[name] = values
	}
	s.writer.WriteHeader(status)
	return nil
}

// Write writes a part of the body at once.
func (s *callSink) Write(data []byte) error {
	controller := http.NewResponseController(s.writer)
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.writer.Write(data); err != nil {
		return err
	}
	return controller.Flush()
}
