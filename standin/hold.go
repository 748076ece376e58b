package standin

import "net/http"

// holdWriter keeps the answer back while the stand-in stalls; the effect has taken place by then.
type holdWriter struct {
	http.ResponseWriter
	server *server
	passed bool
}

// Write sends bytes of the answer.
func (h *holdWriter) Write(p []byte) (int, error) {
	h.pass()
	return h.ResponseWriter.Write(p)
}

// WriteHeader sends the status of the answer.
func (h *holdWriter) WriteHeader(status int) {
	h.pass()
	h.ResponseWriter.WriteHeader(status)
}

func (h *holdWriter) pass() {
	if h.passed {
		return
	}
	h.passed = true
	if !h.server.faults.wait(FaultStall, h.server.closed) {
		panic(http.ErrAbortHandler)
	}
}
