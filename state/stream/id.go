package stream

import (
	"crypto/sha256"
	"encoding/binary"
)

// ID identifies a stream by the request that brought its first event. Callers choose the ids of their requests, so it is a hash for which they can't find
// another workspace's.
type ID [16]byte

// Of returns the ID of the stream that a request of a workspace began.
func Of(workspace, request string) ID {
	digest := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(workspace)))
	_, _ = digest.Write(length[:]) // a hash accepts everything
	_, _ = digest.Write([]byte(workspace))
	_, _ = digest.Write([]byte(request))
	return ID(digest.Sum(nil)[:len(ID{})])
}
