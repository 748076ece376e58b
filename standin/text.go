package standin

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Text gives the tokens of one generation, the same for the same inputs.
type Text struct{ base uint64 }

// NewText makes the text for a model version, seed and prompt; salt is empty on engines that decode repeatably.
func NewText(version string, seed int64, prompt, salt string) Text {
	digest := xxhash.New()
	for _, part := range []string{version, strconv.FormatInt(seed, 10), salt, prompt} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return Text{base: digest.Sum64()}
}

var syllables = [...]string{
	"an", "be", "cal", "do", "en", "fi", "gla", "hu", "is", "jo", "ka", "le", "ma", "no", "or", "pi",
	"qua", "re", "sjö", "ta", "um", "va", "we", "xi", "yl", "za", "얼", "ård", "음", "ön", "계", "st",
}

// Token returns the text of the token at the index, from 0.
func (t Text) Token(index int) string {
	mixed := (t.base + uint64(index)*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	mixed ^= mixed >> 32
	return " " + syllables[mixed%32] + syllables[mixed>>5%32]
}

// Join returns the text of the first tokens.
func (t Text) Join(count int) string {
	var all []byte
	for i := range count {
		all = append(all, t.Token(i)...)
	}
	return string(all)
}
