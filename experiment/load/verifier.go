package load

import "strings"

// Sequence gives the texts of a generation's tokens, from index 0.
type Sequence interface {
	Token(index int) string
}

// Candidates returns the generations that an answer may be: more than one where the engine's text depends on the attempt.
type Candidates func(r *Request, answer string) []Sequence

// searchWindow bounds how far from the next token a wrong one is looked for.
const searchWindow = 64

// verifier compares an answer with the one generation that it has to be; while several fit, it follows them all.
type verifier struct {
	trials []*trial
}

// trial compares an answer with one candidate.
type trial struct {
	sequence Sequence
	length   int
	next     int
	verdict  Verdict
}

func newVerifier(r *Request, sequences []Sequence) *verifier {
	v := &verifier{}
	for _, s := range sequences {
		v.trials = append(v.trials, &trial{sequence: s, length: r.Tokens})
	}
	return v
}

// token takes the text of one more token.
func (v *verifier) token(text string) {
	for _, t := range v.trials {
		t.token(text)
	}
	v.narrow()
}

// text takes a whole answer.
func (v *verifier) text(text string) {
	for _, t := range v.trials {
		t.text(text)
	}
	v.narrow()
}

// narrow drops the candidates that do not fit while one does.
func (v *verifier) narrow() {
	if len(v.trials) < 2 {
		return
	}
	var fitting []*trial
	for _, t := range v.trials {
		if !t.verdict.Wrong() {
			fitting = append(fitting, t)
		}
	}
	if len(fitting) > 0 {
		v.trials = fitting
	}
}

// end takes the end of the answer and returns the verdict of the candidate that fits best.
func (v *verifier) end(finished bool) Verdict {
	var best Verdict
	for i, t := range v.trials {
		if finished {
			t.end()
		}
		if i == 0 || t.verdict.faults() < best.faults() {
			best = t.verdict
		}
	}
	return best
}

func (t *trial) token(text string) {
	if t.next < t.length && text == t.sequence.Token(t.next) {
		t.next++
		t.verdict.Tokens++
		return
	}
	for i := t.next - 1; i >= max(0, t.next-searchWindow); i-- {
		if text == t.sequence.Token(i) {
			t.verdict.Doubled++
			return
		}
	}
	for i := t.next + 1; i < min(t.length, t.next+searchWindow); i++ {
		if text == t.sequence.Token(i) {
			t.verdict.Lost += i - t.next
			t.verdict.Tokens++
			t.next = i + 1
			return
		}
	}
	t.verdict.Crossed++
}

func (t *trial) text(text string) {
	for text != "" {
		size := t.prefix(text)
		t.token(text[:size])
		text = text[size:]
	}
}

// prefix returns the length of the token that the text starts with, or the whole length where it fits none.
func (t *trial) prefix(text string) int {
	for i := t.next; i < min(t.length, t.next+searchWindow); i++ {
		if token := t.sequence.Token(i); strings.HasPrefix(text, token) {
			return len(token)
		}
	}
	for i := t.next - 1; i >= max(0, t.next-searchWindow); i-- {
		if token := t.sequence.Token(i); strings.HasPrefix(text, token) {
			return len(token)
		}
	}
	return len(text)
}

func (t *trial) end() {
	t.verdict.Lost += t.length - t.next
	t.next = t.length
}
