package load

import "strings"

// Content gives the text of one token that an engine generates for a request.
type Content func(r *Request, index int) string

// searchWindow bounds how far from the next token a wrong one is looked for.
const searchWindow = 64

// verifier compares an answer with the one generation that it has to be.
type verifier struct {
	request *Request
	content Content
	verdict Verdict
	next    int
}

func newVerifier(r *Request, content Content) *verifier {
	return &verifier{request: r, content: content}
}

// token takes the text of one more token.
func (v *verifier) token(text string) {
	if v.next < v.request.Tokens && text == v.content(v.request, v.next) {
		v.next++
		v.verdict.Tokens++
		return
	}
	for i := v.next - 1; i >= max(0, v.next-searchWindow); i-- {
		if text == v.content(v.request, i) {
			v.verdict.Doubled++
			return
		}
	}
	for i := v.next + 1; i < min(v.request.Tokens, v.next+searchWindow); i++ {
		if text == v.content(v.request, i) {
			v.verdict.Lost += i - v.next
			v.verdict.Tokens++
			v.next = i + 1
			return
		}
	}
	v.verdict.Crossed++
}

// text takes a whole answer.
func (v *verifier) text(text string) {
	for text != "" {
		size := v.prefix(text)
		v.token(text[:size])
		text = text[size:]
	}
}

// prefix returns the length of the token that the text starts with, or the whole length where it fits none.
func (v *verifier) prefix(text string) int {
	for i := v.next; i < min(v.request.Tokens, v.next+searchWindow); i++ {
		if token := v.content(v.request, i); strings.HasPrefix(text, token) {
			return len(token)
		}
	}
	for i := v.next - 1; i >= max(0, v.next-searchWindow); i-- {
		if token := v.content(v.request, i); strings.HasPrefix(text, token) {
			return len(token)
		}
	}
	return len(text)
}

// end takes the end of a finished answer.
func (v *verifier) end() {
	v.verdict.Lost += v.request.Tokens - v.next
	v.next = v.request.Tokens
}
