package endpoint

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the size in bytes of the prompt blocks that engines cache.
const BlockBytes = 256

// MaximumBlocks is the largest number of blocks that are hashed of one prompt.
const MaximumBlocks = 64

// Blocks returns the chained hash of each whole block of the prompt, for the first MaximumBlocks blocks; equal hashes mean equal
// prefixes.
func Blocks(prompt string) []uint64 {
	count := min(len(prompt)/BlockBytes, MaximumBlocks)
	hashes := make([]uint64, 0, count)
	var previous uint64
	for i := range count {
		digest := xxhash.NewWithSeed(previous)
		_, _ = digest.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, previous)
	}
	return hashes
}

// BlockName returns the hash of a block in the form that engines use in cache events: 16 hex digits.
func BlockName(hash uint64) string {
	const digits = "0123456789abcdef"
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], hash)
	name := make([]byte, 0, 16)
	for _, b := range raw {
		name = append(name, digits[b>>4], digits[b&15])
	}
	return string(name)
}
