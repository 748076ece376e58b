package lines

import (
	"bytes"
	"strings"
	"testing"

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
		w.Close()
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
		w.Close()
		is.True(strings.Contains(out.written.String(), "lines dropped"))
	})
	t.Run("lines after Close are discarded", func(t *testing.T) {
		is := is.New(t)
		out := &bytes.Buffer{}
		w := New(out)
		w.Close()
		_, err := w.Write([]byte("late\n"))
		is.NoErr(err)
		is.Equal(out.String(), "")
	})
}
