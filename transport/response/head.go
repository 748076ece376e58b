package response

import (
	"bytes"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// MalformedError reports bytes that are no response of HTTP/1.1 although one was expected.
type MalformedError struct {
	Reason string // what is wrong
	Text   string // the bytes, or the first of them
}

// Error returns the reason and the bytes on one line.
func (m *MalformedError) Error() string {
	return fmt.Sprintf("not a response of HTTP: %s: %.80q", m.Reason, m.Text)
}

// head checks what precedes the body of a response: informational responses, and the head of the final one.
type head struct {
	checked int  // bytes that have been checked
	inside  bool // the status line has been checked, the empty line has not come
	final   bool // the current head is not that of an informational response
}

// check checks the lines that have come, and reports whether the head of the final response is whole. The data are all bytes of the heads so far.
func (h *head) check(data []byte) (whole bool, err error) {
	for {
		end := bytes.IndexByte(data[h.checked:], '\n')
		if end < 0 {
			return false, nil
		}
		line := string(data[h.checked : h.checked+end+1])
		h.checked += end + 1
		text, found := strings.CutSuffix(line, "\r\n")
		switch {
		case !found:
			return false, &MalformedError{Reason: "line of a head ends without a carriage return", Text: line}
		case !h.inside:
			err = h.begin(text)
		case text == "":
			h.inside = false
		}
		if err != nil {
			return false, err
		}
		if !h.inside && h.final {
			return true, nil
		}
	}
}

// begin checks a status line.
func (h *head) begin(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return &MalformedError{Reason: "status line names no version of HTTP/1", Text: line}
	}
	code, reason, found := strings.Cut(rest, " ")
	if !found || !isStatus(code) {
		return &MalformedError{Reason: "status line has no status of HTTP", Text: line}
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return &MalformedError{Reason: "reason phrase has a control character", Text: line}
	}
	if code == "101" {
		return &MalformedError{Reason: "change of protocol that was not asked for", Text: line}
	}
	*h = head{checked: h.checked, inside: true, final: code[0] != '1'}
	return nil
}

// isStatus reports whether a text is a status code of HTTP: three digits, from 100 to 599.
func isStatus(code string) bool {
	if len(code) != 3 || code[0] < '1' || code[0] > '5' {
		return false
	}
	return strings.Trim(code, "0123456789") == ""
}
