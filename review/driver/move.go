package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// moveCall is a call that copies the memory of a run to another engine.
type moveCall struct {
	ID     string `json:"id"`
	Target string `json:"target"`
	Last   bool   `json:"last"`
}

// serveMove copies the memory of a run to another engine; the last copy stops the run first and closes its stream without its end.
func (e *engine) serveMove(w http.ResponseWriter, r *http.Request) {
	var call moveCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	current := e.runs[call.ID]
	e.mutex.Unlock()
	if current == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	current.mutex.Lock()
	if current.moving {
		current.mutex.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	current.moving = true
	current.mutex.Unlock()
	status, handle, made := e.move(current, &call)
	current.mutex.Lock()
	current.moving = false
	current.mutex.Unlock()
	e.fleet.record.line("engine %s copies %s to %s, last %t: %d, handle %q, %d events", e.id, call.ID, call.Target, call.Last, status, handle, made)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if handle != "" {
		_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": made}) // the caller may have left
	}
}

// move makes one copy and returns the status, the handle and the events that the run had made.
func (e *engine) move(current *run, call *moveCall) (status int, handle string, made int) {
	target := e.fleet.at(call.Target)
	if call.Last {
		current.stop()
		e.mutex.Lock()
		delete(e.runs, call.ID)
		e.mutex.Unlock()
	}
	made = current.events()
	tokens := current.prompt + made*tokensPerEvent
	handle = e.fleet.newHandle()
	if call.Last {
		e.keep(handle, made)
	}
	if target == nil || call.Last && target.hasRoom != nil && !target.hasRoom() {
		if call.Last {
			return http.StatusServiceUnavailable, handle, made
		}
		return http.StatusServiceUnavailable, "", 0
	}
	current.mutex.Lock()
	more := tokens - current.copied
	current.copied = tokens
	current.mutex.Unlock()
	e.link.Lock()
	time.Sleep(copyTime(more, e.zone != target.zone))
	e.link.Unlock()
	target.mutex.Lock()
	target.copies[e.address+"/"+handle] = made
	target.mutex.Unlock()
	return http.StatusOK, handle, made
}

// keep keeps the memory of a stopped run at its engine.
func (e *engine) keep(handle string, made int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.copies[e.address+"/"+handle] = made
}

func (f *engines) newHandle() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.handles++
	return fmt.Sprint("h", f.handles)
}

// copyTime is how long a copy of so many tokens takes.
func copyTime(tokens int, remote bool) time.Duration {
	seconds := float64(tokens) * tokenBytes * 8 / linkBits
	if remote {
		seconds *= remoteSlowdown
	}
	return time.Duration(seconds * float64(time.Second))
}
