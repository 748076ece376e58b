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
	bodied  bool // its status allows a body
	empty   bool // its status allows no length other than zero
	one     bool // its version is HTTP/1.1, so it may be sent in chunks

	lengths, codings int    // fields that say where the body ends
	length           string // value of the latest of them
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
		case text != "":
			err = h.field(text)
		default:
			err = h.end()
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
	final := code[0] != '1'
	empty := !final || code == "204"
	*h = head{checked: h.checked, inside: true, one: version == "HTTP/1.1", final: final, empty: empty, bodied: !empty && code != "304"}
	return nil
}

// isStatus reports whether a text is a status code of HTTP: three digits, from 100 to 599.
func isStatus(code string) bool {
	if len(code) != 3 || code[0] < '1' || code[0] > '5' {
		return false
	}
	return strings.Trim(code, "0123456789") == ""
}

// field checks a field line.
func (h *head) field(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return &MalformedError{Reason: "line of a head names no field", Text: line}
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return &MalformedError{Reason: "value of a field has a control character", Text: line}
	}
	value = strings.Trim(value, " \t")
	switch strings.ToLower(name) {
	case "content-length":
		h.lengths++
		h.length = value
		if value == "" || strings.Trim(value, "0123456789") != "" {
			return &MalformedError{Reason: "length of the body is no number", Text: line}
		}
	case "transfer-encoding":
		h.codings++
		if !strings.EqualFold(value, "chunked") {
			return &MalformedError{Reason: "transfer coding is unknown", Text: line}
		}
	}
	return nil
}

// end checks that a head says at most once where its body ends.
func (h *head) end() error {
	switch {
	case h.lengths+h.codings > 1:
		return &MalformedError{Reason: "head says more than once where its body ends"}
	case h.codings > 0 && !(h.one && h.bodied):
		return &MalformedError{Reason: "response may not be sent in chunks"}
	case h.empty && strings.Trim(h.length, "0") != "":
		return &MalformedError{Reason: "response has a length though its status allows no body", Text: h.length}
	default:
		return nil
	}
}

// isFramed reports whether the response says where its body ends, or has none; otherwise the end of the connection is its end.
func (h *head) isFramed() bool { return h.lengths+h.codings > 0 || !h.bodied }
