package prompt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PartOfRequest returns the part that stands for a request as a whole. Two requests have the same one if they have the same service, method,
// path with query, workspace and body; what differs between the attempts of one request, such as its id and deadline, does not count.
func PartOfRequest(service, method, path, workspace string, body []byte) Part {
	digest := xxhash.New()
	for _, field := range []string{service, method, path, workspace} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = digest.Write(length[:]) // a hash accepts everything
		_, _ = digest.WriteString(field)
	}
	_, _ = digest.Write(body)
	return Part(digest.Sum64())
}
