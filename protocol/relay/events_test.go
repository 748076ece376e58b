package relay

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestEvents(t *testing.T) {
	t.Run("complete events are returned unchanged", func(t *testing.T) {
		is := is.New(t)
		text := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\n"
		e := newEventReader(strings.NewReader(text))
		var forwarded strings.Builder
		var ids []int64
		for {
			found, err := e.next()
			if errors.Is(err, io.EOF) {
				break
			}
			is.NoErr(err)
			forwarded.Write(found.data)
			if found.hasID {
				ids = append(ids, found.id)
			}
		}
		is.Equal(forwarded.String(), text)
		is.Equal(ids, []int64{1, 2})
	})
	t.Run("truncated event is not returned", func(t *testing.T) {
		is := is.New(t)
		e := newEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b"))
		_, err := e.next()
		is.NoErr(err)
		_, err = e.next()
		is.Equal(err, io.ErrUnexpectedEOF)
	})
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		e := newEventReader(bytes.NewReader(data))
		read := 0
		for {
			found, err := e.next()
			if err != nil {
				break
			}
			read += len(found.data)
		}
		if read > len(data) {
			t.Fatal("events are longer than the stream")
		}
	})
}
