package prompt

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaximumParts is the number of parts of one prompt that are told apart.
const MaximumParts = 64

// Part identifies one part of a prompt: equal parts of different prompts have the same value.
type Part uint64

// ParsePart returns the part with the given name. A name of up to 16 hexadecimal digits is the part's value; any other is hashed.
func ParsePart(name string) Part {
	if value, err := strconv.ParseUint(name, 16, 64); err == nil {
		return Part(value)
	}
	return Part(xxhash.Sum64String(name))
}

// PartOf returns the part that consists of a text.
func PartOf(text string) Part { return Part(xxhash.Sum64String(text)) }

// String returns the part in hexadecimal digits.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// Format returns the parts in order, with commas between them.
func Format(parts []Part) string {
	names := make([]string, len(parts))
	for n, p := range parts {
		names[n] = p.String()
	}
	return strings.Join(names, ",")
}
