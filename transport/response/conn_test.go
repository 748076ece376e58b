package response

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fakeConn is a connection that brings a response, and then ends without an error; sending takes some time, and ends with an error if there is one.
type fakeConn struct {
	net.Conn
	response string
	sendTime time.Duration
	sendErr  error
}

func (f *fakeConn) Read(p []byte) (int, error) {
	if f.response == "" {
		return 0, io.EOF
	}
	n := copy(p, f.response)
	f.response = f.response[n:]
	return n, nil
}

func (f *fakeConn) Write(p []byte) (int, error) {
	time.Sleep(f.sendTime)
	if f.sendErr != nil {
		return 0, f.sendErr
	}
	return len(p), nil
}

func (f *fakeConn) Close() error { return nil }

// A reset may be reported to the writer alone, before or after the reader meets the end.
func TestEndOfResponse(t *testing.T) {
	const (
		request  = "POST / HTTP/1.1\r\nHost: h\r\n\r\n"
		unframed = "HTTP/1.1 200 OK\r\n\r\npart"
	)
	for _, c := range []struct {
		name, response string
		sendTime       time.Duration
		sendErr        error
		readAfter      time.Duration
		bodyBytes      int64 // of the request, of which one byte is sent
		want           error
		at             time.Duration
	}{
		{"is its end once the request has been sent", unframed, 0, nil, 0, 1, io.EOF, 0},
		{"is its end if the server reads on", unframed, 300 * time.Millisecond, nil, 0, 1, io.EOF, 600 * time.Millisecond},
		{"is none if the writer meets a reset later", unframed, 300 * time.Millisecond, syscall.ECONNRESET, 0, 1, errUnsent, 300 * time.Millisecond},
		{"is none if the writer has met a reset", unframed, 0, syscall.ECONNRESET, time.Minute, 1, errUnsent, time.Minute},
		{"is none if the request is never sent whole", unframed, 0, nil, 0, 2, errUnsent, uploadTime},
		{"needs no request if the response has a length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", time.Hour, nil, 0, 1, io.EOF, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				wrapped := newConn(&fakeConn{response: c.response, sendTime: c.sendTime, sendErr: c.sendErr}, defaultHeadBytes)
				wrapped.begin(c.bodyBytes)
				var writer sync.WaitGroup
				defer writer.Wait()
				writer.Go(func() {
					for _, part := range []string{request[:10], request[10:] + "b"} {
						if _, err := wrapped.Write([]byte(part)); err != nil {
							return
						}
					}
				})
				time.Sleep(c.readAfter)
				synctest.Wait()
				data, err := readUntilError(wrapped)
				is.Equal(string(data), c.response)
				is.True(errors.Is(err, c.want))
				is.Equal(time.Since(began), c.at)
			})
		})
	}
}

// readUntilError returns all bytes that come, and the error after them, also io.EOF.
func readUntilError(r io.Reader) ([]byte, error) {
	var data []byte
	buffer := make([]byte, 7)
	for {
		n, err := r.Read(buffer)
		data = append(data, buffer[:n]...)
		if err != nil {
			return data, err
		}
	}
}

func TestCloseEndsWaitForRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		wrapped := newConn(&fakeConn{response: "HTTP/1.1 200 OK\r\n\r\n"}, defaultHeadBytes)
		time.AfterFunc(100*time.Millisecond, func() { is.NoErr(wrapped.Close()) })
		_, err := readUntilError(wrapped)
		is.True(errors.Is(err, errUnsent))
		is.Equal(time.Since(began), 100*time.Millisecond)
	})
}
