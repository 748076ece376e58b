package load

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Record is what an audit has to know of one request.
type Record struct {
	Number  int
	Kind    Kind
	Entry   string
	Key     string
	Answer  string
	Outcome Outcome
	Repeat  bool
	Reply   uint64 // hash of a call's reply
}

func newRecord(r *Result) Record {
	return Record{
		Number:  r.Request.Number,
		Kind:    r.Request.Mix.Kind,
		Entry:   r.Request.Mix.Entry,
		Key:     r.Request.Key,
		Answer:  r.Answer,
		Outcome: r.Outcome,
		Repeat:  r.Repeat,
		Reply:   xxhash.Sum64(r.Body),
	}
}

func describe(r *Result) string {
	return fmt.Sprintf("request %d (%s, seed %d, answer %s): %s %s, of %d tokens %d right, %d lost, %d doubled, %d crossed",
		r.Request.Number, r.Request.Mix.Name, r.Request.Seed, r.Answer, r.Outcome, r.Reason,
		r.Request.Tokens, r.Text.Tokens, r.Text.Lost, r.Text.Doubled, r.Text.Crossed)
}

// Generates tells whether the request was for a generation.
func (r *Record) Generates() bool {
	return r.Kind == KindStream || r.Kind == KindWhole
}
