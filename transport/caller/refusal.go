package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/protocol/answer"
)

// refusal is an error as callers see it: OpenAI's error object and what became of the request.
type refusal struct {
	status  int
	kind    string // OpenAI's type
	code    string
	param   string
	message string
	outcome answer.Outcome
	retryAt time.Time
}

// Error gives the message.
func (r *refusal) Error() string { return r.message }

func invalid(param, message string) *refusal {
	return &refusal{
		status: http.StatusBadRequest, kind: "invalid_request_error", code: "invalid_value",
		param: param, message: message, outcome: answer.OutcomeNotRun,
	}
}

func unauthorized() *refusal {
	return &refusal{
		status: http.StatusUnauthorized, kind: "invalid_request_error", code: "invalid_api_key",
		message: "the API key is missing or not valid", outcome: answer.OutcomeNotRun,
	}
}

func unknownModel(name string) *refusal {
	return &refusal{
		status: http.StatusNotFound, kind: "invalid_request_error", code: "model_not_found",
		param: "model", message: "the model " + strconv.Quote(name) + " does not exist or is not open to this key", outcome: answer.OutcomeNotRun,
	}
}

func tooLarge(limit int) *refusal {
	return &refusal{
		status: http.StatusRequestEntityTooLarge, kind: "invalid_request_error", code: "request_too_large",
		message: "the body is larger than " + strconv.Itoa(limit) + " bytes", outcome: answer.OutcomeNotRun,
	}
}

// takesNoWork refuses what another instance can take at once.
func takesNoWork(code string, retryAt time.Time) *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, kind: "server_error", code: code,
		message: "this instance takes no new work; another one will", outcome: answer.OutcomeNotRun, retryAt: retryAt,
	}
}

// refusalOf turns the result of an answer that did not finish into what its caller is told.
func refusalOf(result answer.Result) *refusal {
	r := &refusal{
		status: http.StatusServiceUnavailable, kind: "server_error", code: result.Reason,
		message: describe(result), outcome: result.Outcome, retryAt: result.RetryAt,
	}
	if result.Outcome == answer.OutcomeUnknown || result.Outcome == answer.OutcomeInterrupted {
		r.status = http.StatusBadGateway
	}
	if result.Reason == string(routing.ReasonWorkspaceLimit) {
		r.status = http.StatusTooManyRequests
		r.kind = "rate_limit_error"
	}
	if r.code == "" {
		r.code = string(result.Outcome)
	}
	return r
}

func describe(result answer.Result) string {
	switch result.Outcome {
	case answer.OutcomeNotRun:
		return "the request was not run: " + result.Reason
	case answer.OutcomeInterrupted:
		return "the answer was interrupted after " + strconv.Itoa(result.Delivered) + " tokens: " + result.Reason
	default:
		return "it is not known whether the request ran: " + result.Reason
	}
}

// body returns OpenAI's error object with the outcome.
func (r *refusal) body() []byte {
	var param *string
	if r.param != "" {
		param = &r.param
	}
	var wire struct {
		Error struct {
			Message string         `json:"message"`
			Type    string         `json:"type"`
			Code    string         `json:"code"`
			Param   *string        `json:"param"`
			Outcome answer.Outcome `json:"outcome"`
		} `json:"error"`
	}
	wire.Error.Message = r.message
	wire.Error.Type = r.kind
	wire.Error.Code = r.code
	wire.Error.Param = param
	wire.Error.Outcome = r.outcome
	data, err := json.Marshal(wire)
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","outcome":"unknown"}}`)
	}
	return data
}

// write sends the refusal; a retryable one tells when to ask again, in whole seconds rounded up.
func (r *refusal) write(w http.ResponseWriter, now time.Time) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, string(r.outcome))
	if !r.retryAt.IsZero() {
		seconds := math.Ceil(r.retryAt.Sub(now).Seconds())
		header.Set("Retry-After", strconv.Itoa(max(int(seconds), 1)))
	}
	if r.outcome != answer.OutcomeNotRun || (r.status >= http.StatusInternalServerError && r.retryAt.IsZero()) {
		header.Set(headerShouldRetry, "false")
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body())
}
