package standin

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"dogwooddyke/standin/model"
	"dogwooddyke/state/endpoint"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
)

var errKnownGeneration = errors.New("generation id is known")

var errNotReady = errors.New("engine is not ready")

// maximumID is the longest generation id, bytes.
const maximumID = 200

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	e.serveStart(w, r, true)
}

func (e *Engine) servePlain(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	e.serveStart(w, r, false)
}

func (e *Engine) serveStart(w http.ResponseWriter, r *http.Request, chat bool) {
	g, stream, err := e.parseStart(r, chat)
	if err != nil {
		refuse(w, http.StatusBadRequest, outcomeNotRun, err.Error())
		return
	}
	reader := &reader{wake: make(chan struct{}, 1)}
	if err := e.start(g, reader); err != nil {
		refuseStart(w, err)
		return
	}
	defer e.leave(g, reader)
	if stream {
		e.stream(w, r, g, reader, 0)
		return
	}
	e.answer(w, r, g, reader)
}

func refuseStart(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errKnownGeneration):
		refuse(w, http.StatusConflict, outcomeUnknown, err.Error())
	case errors.Is(err, model.ErrTooLarge), errors.Is(err, ErrRequest):
		refuse(w, http.StatusBadRequest, outcomeNotRun, err.Error())
	default:
		w.Header().Set(headerRetry, "1")
		refuse(w, http.StatusServiceUnavailable, outcomeNotRun, err.Error())
	}
}

// parseStart makes a generation of a request; the model that decodes it is filled in by start.
func (e *Engine) parseStart(r *http.Request, chat bool) (*generation, bool, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, false, err
	}
	asked, err := parsePrompt(body, chat)
	if err != nil {
		return nil, false, err
	}
	id, err := generationID(r.Header.Get(headerGeneration))
	if err != nil {
		return nil, false, err
	}
	priority, err := priorityOf(r.Header.Get(headerPriority))
	if err != nil {
		return nil, false, err
	}
	g := &generation{
		chat:    chat,
		usage:   asked.UsageChunk,
		name:    asked.Model,
		prompt:  asked.Text,
		created: time.Now(),
		readers: make(map[*reader]struct{}),
	}
	g.model = model.Generation{ID: id, Priority: priority, Blocks: endpoint.Blocks(asked.Text)}
	e.size(g, &asked)
	return g, asked.Stream, nil
}

// size sets the text and the length of a generation.
func (e *Engine) size(g *generation, asked *prompt) {
	e.engineMutex.Lock()
	version := e.order.Version
	capacity := e.model.Config().Capacity
	e.engineMutex.Unlock()
	seed := rand.Int64()
	if asked.Seed != nil {
		seed = *asked.Seed
	}
	salt := ""
	if !e.config.Repeatable {
		salt = e.config.Name + "/" + g.model.ID
	}
	g.text = NewText(version, seed, asked.Text, salt)
	length := asked.Directive
	if length == 0 {
		length = e.config.Lengths.Draw(g.text.base)
	}
	g.model.Prompt = max(len(asked.Text)/model.BytesPerToken, 1)
	room := capacity - g.model.Prompt
	if asked.Maximum > 0 {
		room = min(room, asked.Maximum)
	}
	g.capped = length > room
	g.model.Length = max(min(length, room), 1)
}

func generationID(header string) (string, error) {
	if header == "" {
		return uuid.NewString(), nil
	}
	if len(header) > maximumID {
		return "", fmt.Errorf("%w: %s: longer than %d bytes", ErrRequest, headerGeneration, maximumID)
	}
	return header, nil
}

func priorityOf(header string) (int, error) {
	if header == "" {
		return 0, nil
	}
	priority, err := strconv.Atoi(header)
	if err != nil || priority < 0 {
		return 0, fmt.Errorf("%w: %s: not a whole number from 0", ErrRequest, headerPriority)
	}
	return priority, nil
}

// start gives the generation to the model.
func (e *Engine) start(g *generation, first *reader) error {
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	if _, dead := e.faults.find(FaultDie); dead {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	e.sweep(now)
	e.tune()
	if _, known := e.generations[g.model.ID]; known {
		return errKnownGeneration
	}
	if e.order.State != StateReady {
		return fmt.Errorf("%w: state is %s", errNotReady, e.order.State)
	}
	if err := e.model.Start(&g.model, now); err != nil {
		return err
	}
	g.perturb = e.perturbations()
	g.readers[first] = struct{}{}
	e.generations[g.model.ID] = g
	e.starts.add(g.model.ID)
	if e.isLeaving() {
		e.leaving.add(g.model.ID)
	}
	e.rouse()
	return nil
}
