package caller

import (
	"cmp"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/protocol/answer"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
)

// Timeouts of an entry that sets none.
const (
	defaultQueueTimeout  = 30 * time.Second
	defaultAnswerTimeout = 2 * time.Hour
)

// bytesPerToken estimates a prompt's tokens, which only the engine knows.
const bytesPerToken = 4

// chat starts a generation from messages.
func (h *Handler) chat(w http.ResponseWriter, request *http.Request, _ httprouter.Params, workspace *catalogue.Workspace) {
	h.generate(w, request, workspace, true)
}

// complete starts a generation from a plain prompt.
func (h *Handler) complete(w http.ResponseWriter, request *http.Request, _ httprouter.Params, workspace *catalogue.Workspace) {
	h.generate(w, request, workspace, false)
}

func (h *Handler) generate(w http.ResponseWriter, request *http.Request, workspace *catalogue.Workspace, chat bool) {
	body, entry, err := h.readGeneration(w, request, workspace, chat)
	if err != nil {
		h.refuse(w, workspace.Name, "", err)
		return
	}
	asked, err := newRequest(newID(), request.URL.Path, workspace, entry, body)
	if err != nil {
		h.refuse(w, workspace.Name, entry.Class, err)
		return
	}
	h.answer(w, request, body, asked, chat)
}

func (h *Handler) readGeneration(w http.ResponseWriter, request *http.Request, workspace *catalogue.Workspace, chat bool) (*generationBody, *catalogue.Entry, error) {
	data, err := h.readBody(w, request)
	if err != nil {
		return nil, nil, err
	}
	body, err := parseBody(data, chat)
	if err != nil {
		return nil, nil, err
	}
	entry, err := h.entry(body.model, catalogue.KindEngine, workspace)
	if err != nil {
		return nil, nil, err
	}
	body.limit(entry.MaximumTokens)
	return body, entry, nil
}

// newRequest makes the request that the answer with the id is given to.
func newRequest(id, path string, workspace *catalogue.Workspace, entry *catalogue.Entry, body *generationBody) (*answer.Request, error) {
	data, err := body.complete(id)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	asked := requestOf(id, workspace, entry, now)
	asked.Path = path
	asked.Body = data
	asked.Buffered = !body.stream
	asked.IncludeUsage = body.usage
	asked.Spec.PromptTokens = len(body.prompt) / bytesPerToken
	asked.Spec.MaximumTokens = body.maximumTokens
	asked.Spec.Prefix = endpoint.Blocks(body.prompt)
	asked.Parts = body.parts
	return asked, nil
}

// requestOf makes a request with what the catalogue says, without a body.
func requestOf(id string, workspace *catalogue.Workspace, entry *catalogue.Entry, now time.Time) *answer.Request {
	return &answer.Request{
		ID:         id,
		Entry:      entry.Name,
		Workspace:  workspace.Name,
		Class:      entry.Class,
		Repeatable: entry.Repeatable,
		Deadline:   now.Add(cmp.Or(entry.AnswerTimeout, defaultAnswerTimeout)),
		Spec: routing.RequestSpec{
			ID:        id,
			Entry:     entry.Name,
			Workspace: workspace.Name,
			Class:     entry.Class,
			Priority:  entry.Priority,
			Deadline:  now.Add(cmp.Or(entry.QueueTimeout, defaultQueueTimeout)),
		},
	}
}

// answer runs the request and gives the caller its answer in the form asked for.
func (h *Handler) answer(w http.ResponseWriter, request *http.Request, body *generationBody, asked *answer.Request, chat bool) {
	began := time.Now()
	w.Header().Set(headerAnswer, asked.ID)
	if body.stream {
		sink := newStreamSink(w)
		timed := newTimedSink(sink, h.config.Observer.Begin(asked.Workspace, asked.Class))
		result := h.config.Answers.Run(request.Context(), asked, timed)
		h.config.Observer.Ended(asked.Workspace, asked.Class, result.Outcome, time.Since(began))
		h.endStream(w, sink, asked.Workspace, asked.Class, result)
		return
	}
	sink := &wholeSink{chat: chat}
	result := h.config.Answers.Run(request.Context(), asked, sink)
	h.config.Observer.Ended(asked.Workspace, asked.Class, result.Outcome, time.Since(began))
	h.endWhole(w, sink, asked, result)
}

func (h *Handler) endStream(w http.ResponseWriter, sink *streamSink, workspace, class string, result answer.Result) {
	switch {
	case result.Outcome == answer.OutcomeCancelled:
	case result.Outcome == answer.OutcomeFinished:
		sink.end(nil)
	case sink.started:
		h.config.Observer.Refused(workspace, class, result.Reason)
		sink.end(refusalOf(result))
	default:
		h.refuse(w, workspace, class, refusalOf(result))
	}
}

func (h *Handler) endWhole(w http.ResponseWriter, sink *wholeSink, asked *answer.Request, result answer.Result) {
	if result.Outcome == answer.OutcomeCancelled {
		return
	}
	if result.Outcome != answer.OutcomeFinished {
		h.refuse(w, asked.Workspace, asked.Class, refusalOf(result))
		return
	}
	data, err := sink.body(asked.ID)
	if err != nil {
		h.refuse(w, asked.Workspace, asked.Class, err)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, string(answer.OutcomeFinished))
	header.Set(headerResume, result.ResumeToken)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = w.Write(data)
}
