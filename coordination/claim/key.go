package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"
)

// Digest names a key or a request's body: the first half of a SHA-256.
type Digest [16]byte

// MarshalText gives the digest in hex.
func (d Digest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText reads a digest in hex.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return oops.Errorf("digest: %d hex digits, wants %d", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return oops.Wrapf(err, "digest")
}

// NewKey names the use of an idempotency key by a workspace on an entry.
func NewKey(workspace, entry, key string) Digest {
	sum := sha256.New()
	for _, part := range []string{workspace, entry, key} {
		_, _ = sum.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return Digest(sum.Sum(nil)[:len(Digest{})])
}

// NewBody names the parts of a request, which a repeat must equal.
func NewBody(parts ...[]byte) Digest {
	sum := sha256.New()
	for _, part := range parts {
		_, _ = sum.Write([]byte(strconv.Itoa(len(part)) + ":"))
		_, _ = sum.Write(part)
	}
	return Digest(sum.Sum(nil)[:len(Digest{})])
}

// partitionOf maps a key to one of the partitions.
func partitionOf(key Digest, partitions int) int {
	return int(binary.BigEndian.Uint32(key[:4]) % uint32(partitions))
}

// Birth returns when a UUIDv7 key was made; false for other keys.
func Birth(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	var raw [8]byte
	copy(raw[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(raw[:]))), true
}
