package lines

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.release
	return w.written.Write(data)
}

func TestWriter(t *testing.T) {
	t.Run("lines are written whole and in order", func(t *testing.T) {
		is := is.New(t)
		out := &bytes.Buffer{}
		w := New(out)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := w.Write([]byte(line))
			is.NoErr(err)
		}
		is.NoErr(w.Close(t.Context()))
		is.Equal(out.String(), "a\nb\nc\n")
	})
	t.Run("a blocked writer does not block Write, and dropped lines are reported", func(t *testing.T) {
		is := is.New(t)
		out := &blockedWriter{release: make(chan struct{})}
		w := New(out)
		for range 3 * queueCapacity {
			_, err := w.Write([]byte("line\n"))
			is.NoErr(err)
		}
		is.True(w.Dropped() >= queueCapacity)
		close(out.release)
		is.NoErr(w.Close(t.Context()))
		is.True(strings.Contains(out.written.String(), "lines dropped"))
	})
	t.Run("lines after Close are discarded", func(t *testing.T) {
		is := is.New(t)
		out := &bytes.Buffer{}
		w := New(out)
		is.NoErr(w.Close(t.Context()))
		_, err := w.Write([]byte("late\n"))
		is.NoErr(err)
		is.Equal(out.String(), "")
	})
}

// slowWriter is a writer that takes its time for each write.
type slowWriter struct {
	pause   time.Duration
	written bytes.Buffer
}

func (w *slowWriter) Write(data []byte) (int, error) {
	time.Sleep(w.pause)
	return w.written.Write(data)
}

// What a process wrote last did not leave it: nothing waited for the queue, and a full one took no line.
func TestLastLinesLost(t *testing.T) {
	run := func(name string, check func(t *testing.T, is *is.I)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { check(t, is.New(t)) })
		})
	}
	fill := func(is *is.I, w *Writer, count int) {
		for n := range count {
			_, err := fmt.Fprintf(w, "ordinary %d\n", n)
			is.NoErr(err)
		}
	}
	run("a slow reader gets all lines that are queued", func(t *testing.T, is *is.I) {
		out := &slowWriter{pause: 10 * time.Millisecond}
		w := New(out)
		fill(is, w, queueCapacity)
		is.NoErr(w.Close(t.Context()))
		is.Equal(bytes.Count(out.written.Bytes(), []byte("\n")), queueCapacity)
		is.Equal(w.Dropped(), int64(0))
	})
	run("a full queue takes the lines of a stop", func(t *testing.T, is *is.I) {
		out := &blockedWriter{release: make(chan struct{})}
		w := New(out)
		fill(is, w, 1)
		synctest.Wait() // the writer has taken the first line
		fill(is, w, queueCapacity+1)
		is.Equal(w.Dropped(), int64(1))
		w.Extend()
		for n := range reserveCapacity {
			_, err := fmt.Fprintf(w, "last %d\n", n)
			is.NoErr(err)
		}
		is.Equal(w.Dropped(), int64(1))
		fill(is, w, 10) // is bounded all the same
		is.Equal(w.Dropped(), int64(11))
		close(out.release)
		is.NoErr(w.Close(t.Context()))
		is.Equal(strings.Count(out.written.String(), "last "), reserveCapacity)
	})
	run("a reader that has stalled is not waited for beyond the time", func(t *testing.T, is *is.I) {
		out := &blockedWriter{release: make(chan struct{})}
		w := New(out)
		fill(is, w, 10)
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		is.Equal(w.Close(ctx), context.DeadlineExceeded)
		is.Equal(time.Since(began), 100*time.Millisecond)
		fill(is, w, 1) // is discarded
		close(out.release)
		is.NoErr(w.Close(t.Context())) // may be called again
		is.Equal(strings.Count(out.written.String(), "ordinary"), 10)
	})
}
