package relay

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/memory"
)

// pausingSink is a caller that reads nothing until it is resumed.
type pausingSink struct {
	resume    chan struct{}
	cancelled chan struct{}
	read      bytes.Buffer
	begun     bool
}

func newPausingSink() *pausingSink {
	return &pausingSink{resume: make(chan struct{}), cancelled: make(chan struct{})}
}

func (s *pausingSink) Begin(int, http.Header) error {
	s.begun = true
	return nil
}

func (s *pausingSink) Write(data []byte) error {
	select {
	case <-s.resume:
		s.read.Write(data)
		return nil
	case <-s.cancelled:
		return errors.New("cancelled")
	}
}

func (s *pausingSink) Cancel() { close(s.cancelled) }

func TestOutbox(t *testing.T) {
	event := bytes.Repeat([]byte("x"), 100)
	run := func(name string, check func(t *testing.T, is *is.I)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { check(t, is.New(t)) })
		})
	}
	run("an answer is read on while its caller reads nothing, and delivered later", func(t *testing.T, is *is.I) {
		sink, budget := newPausingSink(), memory.NewBudget(1<<20)
		o := newOutbox(sink, budget, func() {})
		o.begin(http.StatusOK, nil)
		for range 50 {
			is.NoErr(o.put(t.Context(), event))
		}
		synctest.Wait()
		is.True(budget.Used() >= 49*len(event))
		time.AfterFunc(10*time.Second, func() { close(sink.resume) })
		is.NoErr(o.close(t.Context()))
		is.Equal(sink.read.Len(), 50*len(event))
		is.Equal(budget.Used(), 0)
	})
	run("reading waits for the caller once the budget is used up", func(t *testing.T, is *is.I) {
		sink, budget := newPausingSink(), memory.NewBudget(1000)
		o := newOutbox(sink, budget, func() {})
		o.begin(http.StatusOK, nil)
		put := 0
		reader := make(chan struct{})
		go func() {
			defer close(reader)
			for ; put < 50; put++ {
				is.NoErr(o.put(t.Context(), event))
			}
		}()
		time.Sleep(time.Minute)
		synctest.Wait() // orders the reader's writes before the next line
		is.True(put < 15)
		is.True(budget.Used() <= 1000)
		close(sink.resume)
		<-reader
		is.NoErr(o.close(t.Context()))
		is.Equal(sink.read.Len(), 50*len(event))
		is.Equal(budget.Used(), 0)
	})
	run("a caller that does not read until the end is given up", func(t *testing.T, is *is.I) {
		sink, budget := newPausingSink(), memory.NewBudget(1<<20)
		left := false
		o := newOutbox(sink, budget, func() { left = true })
		o.begin(http.StatusOK, nil)
		is.NoErr(o.put(t.Context(), event))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.Equal(o.close(ctx), errCallerLeft)
		is.True(left)
		is.Equal(o.put(t.Context(), event), errCallerLeft)
		is.Equal(budget.Used(), 0)
	})
	run("an answer that has not begun needs no writer", func(t *testing.T, is *is.I) {
		sink := newPausingSink()
		o := newOutbox(sink, nil, func() {})
		is.NoErr(o.close(t.Context()))
		is.True(!sink.begun)
	})
}
