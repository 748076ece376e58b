package endpoint

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tmaxmax/go-sse"
)

// readEvents returns the data of all events, and how the stream ended.
func readEvents(body io.Reader) ([]string, error) {
	e := newEvents(body)
	var all []string
	for {
		data, err := e.next()
		if err != nil {
			return all, err
		}
		all = append(all, data)
	}
}

// libraryEvents returns the same by a library.
func libraryEvents(body io.Reader) ([]string, error) {
	var all []string
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maximumEventBytes}) {
		if err != nil {
			return all, err
		}
		if event.Data != "" {
			all = append(all, event.Data)
		}
	}
	return all, nil
}

func TestEvents(t *testing.T) {
	t.Run("fields", func(t *testing.T) {
		is := is.New(t)
		got, err := readEvents(strings.NewReader(": comment\nid: 1\ndata: a\ndata:b\r\ndata\n\nevent: x\n\ndata: {}\n\ndata: cut off\n"))
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
		is.Equal(got, []string{"a\nb\n", "{}"})
	})
	t.Run("longLines", func(t *testing.T) {
		is := is.New(t)
		long := strings.Repeat("x", 10*eventBufferBytes)
		got, err := readEvents(strings.NewReader("data: " + long + "\n\ndata: y\n\n"))
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
		is.Equal(got, []string{long, "y"})
	})
	t.Run("bound", func(t *testing.T) {
		is := is.New(t)
		_, err := readEvents(strings.NewReader("data: " + strings.Repeat("x", maximumEventBytes)))
		is.True(errors.Is(err, errEventSize))
		_, err = readEvents(strings.NewReader(strings.Repeat("data: x\n", maximumEventBytes/8+1)))
		is.True(errors.Is(err, errEventSize))
	})
}

// FuzzEvents compares the reader with a library's. Lone CRs, which the library takes as line ends, a byte order mark, and events near the
// bound, which the two count differently, are left out.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: b\ndata: c\r\n\r\n: x\n\ndata:\n\n"))
	f.Add([]byte("data\n\nid:1\ndata:  two\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		data = bytes.ReplaceAll(data, []byte("\r"), nil)
		if bytes.HasPrefix(data, []byte("\xef\xbb\xbf")) || len(data) >= maximumEventBytes {
			return
		}
		if len(data) > 0 && !bytes.HasSuffix(data, []byte("\n\n")) {
			data = append(data, "\n\n"...)
		}
		want, failure := libraryEvents(bytes.NewReader(data))
		if failure != nil {
			return
		}
		got, _ := readEvents(bytes.NewReader(data))
		if strings.Join(got, "|") != strings.Join(want, "|") {
			t.Fatalf("%q: got %q, library %q", data, got, want)
		}
	})
}
