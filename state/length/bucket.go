package length

import "math/bits"

// bucketOf returns the index of the bucket that holds the length.
func bucketOf(tokens int) int {
	if tokens < linearBuckets {
		return max(tokens, 0)
	}
	octave := bits.Len(uint(tokens)) - bits.Len(uint(linearBuckets))
	if octave >= octaves {
		return bucketCount - 1
	}
	base := linearBuckets << octave
	return linearBuckets + octave*octaveBuckets + (tokens-base)*octaveBuckets/base
}

// bucketStart returns the smallest length in the bucket.
func bucketStart(bucket int) int {
	if bucket < linearBuckets {
		return bucket
	}
	octave := (bucket - linearBuckets) / octaveBuckets
	step := (bucket - linearBuckets) % octaveBuckets
	base := linearBuckets << octave
	return base + (step*base+octaveBuckets-1)/octaveBuckets
}

// bucketMiddle returns the mean of the smallest and the largest length in the bucket.
func bucketMiddle(bucket int) float64 {
	return float64(bucketStart(bucket)+bucketStart(bucket+1)-1) / 2
}
