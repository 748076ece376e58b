package response

import (
	"bytes"
	"errors"
	"sync"
	"time"
)

// uploadTime is how long the end of a response waits for its request, which the server may go on to read.
const uploadTime = time.Second

// errUnsent reports that a connection ended although its request had not been sent whole.
var errUnsent = errors.New("connection ended while the request was being sent, so the end of the response may be missing")

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// upload is how much of a request has been sent.
type upload struct {
	mutex  sync.Mutex
	begun  bool   // the head has been sent
	tail   []byte // end of what has been sent of the head
	left   int64  // bytes of the body that have not been sent
	failed bool
	once   sync.Once
	done   chan struct{} // closed when the request has been sent whole, or can't be
}

func newUpload(bodyBytes int64) *upload { return &upload{left: bodyBytes, done: make(chan struct{})} }

// note notes that bytes have been sent, and the error with which sending ended.
func (u *upload) note(sent []byte, err error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if !u.begun {
		sent = u.skipHead(sent)
	}
	u.left -= int64(len(sent))
	if err != nil {
		u.failed = true
	}
	if u.failed || u.isWhole() {
		u.once.Do(func() { close(u.done) })
	}
}

// isWhole reports whether the request has been sent whole.
func (u *upload) isWhole() bool { return u.begun && u.left <= 0 }

// skipHead returns what follows the head.
func (u *upload) skipHead(sent []byte) []byte {
	data := append(u.tail, sent...)
	if end := bytes.Index(data, headEnd); end >= 0 {
		u.begun, u.tail = true, nil
		return data[end+len(headEnd):]
	}
	u.tail = data[max(0, len(data)-len(headEnd)+1):]
	return nil
}

// await waits a little until the request has been sent, and reports whether it has been sent whole.
func (u *upload) await() bool {
	timer := time.NewTimer(uploadTime)
	defer timer.Stop()
	select {
	case <-u.done:
	case <-timer.C:
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return !u.failed && u.isWhole()
}
