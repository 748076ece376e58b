package caller

import (
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"dogwooddyke/protocol/answer"
	"dogwooddyke/state/catalogue"
)

// resume goes on with an answer after the token in Last-Event-ID. A POST carries the request's body as it was first sent,
// with which an answer whose engine is lost can be replayed.
func (h *Handler) resume(w http.ResponseWriter, request *http.Request, parameters httprouter.Params, workspace *catalogue.Workspace) {
	token, err := h.readToken(request, parameters.ByName("id"), workspace)
	if err != nil {
		h.refuse(w, workspace.Name, "", err)
		return
	}
	asked, err := h.resumedRequest(w, request, token, workspace)
	if err != nil {
		h.refuse(w, workspace.Name, "", err)
		return
	}
	began := time.Now()
	w.Header().Set(headerAnswer, asked.ID)
	sink := newStreamSink(w)
	result := h.config.Answers.Resume(request.Context(), token, asked, sink)
	h.config.Observer.Ended(asked.Workspace, asked.Class, result.Outcome, time.Since(began))
	h.endStream(w, sink, asked.Workspace, asked.Class, result)
}

func (h *Handler) readToken(request *http.Request, id string, workspace *catalogue.Workspace) (*answer.ResumeToken, error) {
	text := request.Header.Get(headerLastEvent)
	if text == "" {
		return nil, invalid(headerLastEvent, "the header "+headerLastEvent+" with the last event's id is missing")
	}
	token, err := h.config.Tokens.Verify(text, workspace.Name, time.Now())
	if errors.Is(err, answer.ErrTokenExpired) {
		return nil, gone("the resume token has expired")
	}
	if err != nil || token.Answer != id {
		return nil, invalid(headerLastEvent, "the resume token is not valid for this answer and key")
	}
	return token, nil
}

// resumedRequest makes the request again, from the body where the caller sent it once more.
func (h *Handler) resumedRequest(w http.ResponseWriter, request *http.Request, token *answer.ResumeToken, workspace *catalogue.Workspace) (*answer.Request, error) {
	entry, err := h.entry(token.Entry, catalogue.KindEngine, workspace)
	if err != nil {
		return nil, err
	}
	if request.Method == http.MethodGet {
		return requestOf(token.Answer, workspace, entry, time.Now()), nil
	}
	data, err := h.readBody(w, request)
	if err != nil {
		return nil, err
	}
	chat := request.URL.Query().Get("kind") != "completion"
	body, err := parseBody(data, chat)
	if err != nil {
		return nil, err
	}
	body.limit(entry.MaximumTokens)
	body.stream = true
	path := "/v1/chat/completions"
	if !chat {
		path = "/v1/completions"
	}
	return newRequest(token.Answer, path, workspace, entry, body)
}

func gone(message string) *refusal {
	return &refusal{
		status: http.StatusGone, kind: "invalid_request_error", code: "expired",
		message: message, outcome: answer.OutcomeUnknown,
	}
}
