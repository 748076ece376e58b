package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
)

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		refuse(w, http.StatusBadRequest, outcomeUnknown, "from: not a whole number from 0")
		return
	}
	reader := &reader{wake: make(chan struct{}, 1)}
	g, status := e.join(params.ByName("id"), from, reader)
	if status != http.StatusOK {
		refuse(w, status, outcomeUnknown, "generation: "+http.StatusText(status))
		return
	}
	defer e.leave(g, reader)
	e.stream(w, r, g, reader, from)
}

// join adds a reader to a generation that the engine has.
func (e *Engine) join(id string, from int, reader *reader) (*generation, int) {
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	g, ok := e.generations[id]
	if !ok || g.gone != goneNot || g.expired(time.Now(), e.config.Retention) {
		return nil, http.StatusNotFound
	}
	if from > g.model.Length {
		return nil, http.StatusBadRequest
	}
	if len(g.readers) >= maximumReaders {
		return nil, http.StatusTooManyRequests
	}
	g.readers[reader] = struct{}{}
	return g, http.StatusOK
}

func (e *Engine) leave(g *generation, reader *reader) {
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	delete(g.readers, reader)
}

// stream writes the events from the index on until the generation ends; one write takes all that are ready.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, reader *reader, next int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.Header().Set(headerGeneration, g.model.ID)
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	var buffer []byte
	for {
		ready, end, gone := e.progress(g)
		if gone == goneLost {
			panic(http.ErrAbortHandler)
		}
		buffer, next = e.render(buffer[:0], g, next, ready, end)
		finished := end && next >= ready
		if finished {
			buffer = g.appendEnd(buffer)
		}
		if len(buffer) > 0 {
			if _, err := w.Write(buffer); err != nil {
				return
			}
			_ = flusher.Flush()
		}
		if finished || gone == goneCancelled || !e.await(r, reader) {
			return
		}
	}
}

func (g *generation) appendEnd(to []byte) []byte {
	if g.usage {
		to = g.appendUsage(to)
	}
	return append(to, "data: [DONE]\n\n"...)
}

func (e *Engine) progress(g *generation) (ready int, end bool, gone gone) {
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	return g.emitted, !g.ended.IsZero() && g.gone == goneNot, g.gone
}

// await returns when there may be news, or false when the reader has left or the engine closes.
func (e *Engine) await(r *http.Request, reader *reader) bool {
	select {
	case <-reader.wake:
		return true
	case <-r.Context().Done():
		return false
	case <-e.closed:
		return false
	}
}

// answer writes the whole answer once the generation has ended.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, g *generation, reader *reader) {
	for {
		_, end, gone := e.progress(g)
		if gone != goneNot {
			panic(http.ErrAbortHandler)
		}
		if end {
			w.Header().Set(headerGeneration, g.model.ID)
			reply(w, http.StatusOK, g.whole())
			return
		}
		if !e.await(r, reader) {
			return
		}
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	e.cancel(params.ByName("id"))
	w.WriteHeader(http.StatusNoContent)
}

// cancel ends a generation; its id stays known for the retention, so that a late start is refused.
func (e *Engine) cancel(id string) {
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	g, ok := e.generations[id]
	if !ok || g.gone != goneNot {
		return
	}
	now := time.Now()
	g.gone = goneCancelled
	if e.model.Cancel(&g.model, now) {
		g.ended = now
		e.ended = append(e.ended, g)
	}
	g.wake()
}
