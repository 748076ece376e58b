package caller

import (
	"bytes"
	"net/http"
	"time"

	"dogwooddyke/protocol/answer"
)

// streamSink writes an answer as server-sent events; its head goes out with the first token, so that a refusal before
// it can still be an ordinary response.
type streamSink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	started    bool
	buffer     bytes.Buffer
}

func newStreamSink(w http.ResponseWriter) *streamSink {
	return &streamSink{writer: w, controller: http.NewResponseController(w)}
}

// Deliver writes one event; an error means that the caller takes no more.
func (s *streamSink) Deliver(token answer.Token, resume string) error {
	s.start()
	s.buffer.Reset()
	if resume != "" {
		s.buffer.WriteString("id: ")
		s.buffer.WriteString(resume)
		s.buffer.WriteByte('\n')
	}
	s.event(token.Data)
	return s.flush()
}

// end writes the closing event of a whole answer, or the refusal that ends a broken one.
func (s *streamSink) end(broken *refusal) {
	s.start()
	s.buffer.Reset()
	if broken != nil {
		s.event(broken.body())
	} else {
		s.event([]byte("[DONE]"))
	}
	_ = s.flush()
}

func (s *streamSink) start() {
	if s.started {
		return
	}
	s.started = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.writer.WriteHeader(http.StatusOK)
}

func (s *streamSink) event(data []byte) {
	s.buffer.WriteString("data: ")
	s.buffer.Write(data)
	s.buffer.WriteString("\n\n")
}

// flush sends the buffer within the write timeout, so that a caller who takes nothing can't hold the stream.
func (s *streamSink) flush() error {
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.writer.Write(s.buffer.Bytes()); err != nil {
		return err
	}
	return s.controller.Flush()
}
