package standin

import (
	"encoding/json"
	"io"
	"log"
	"net/http"
)

// reply answers with JSON.
func reply(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// refuse answers with OpenAI's error object and the outcome.
func refuse(w http.ResponseWriter, status int, outcome, message string) {
	w.Header().Set(headerOutcome, outcome)
	kind := "server_error"
	if status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	reply(w, status, struct {
		Error any `json:"error"`
	}{struct {
		Message string  `json:"message"`
		Type    string  `json:"type"`
		Code    *string `json:"code"`
		Param   *string `json:"param"`
		Outcome string  `json:"outcome"`
	}{Message: message, Type: kind, Outcome: outcome}})
}

// quiet drops the server's own log lines: cut connections are the purpose here.
func quiet() *log.Logger { return log.New(io.Discard, "", 0) }
