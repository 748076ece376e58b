package model

import (
	"time"

	"dogwooddyke/state/endpoint"
)

// BytesPerToken converts the size of a prompt into tokens.
const BytesPerToken = 4

// promptBlockTokens is the number of tokens that one cached block saves.
const promptBlockTokens = endpoint.BlockBytes / BytesPerToken

// Sizes and times of an engine whose Config leaves them out.
const (
	defaultSlots        = 256
	defaultKnee         = 64
	defaultStepTime     = 20 * time.Millisecond
	defaultSequenceCost = 100 * time.Microsecond
	defaultCapacity     = 400_000 // tokens
	defaultMemoryKnee   = 0.9     // share of the capacity
	defaultMemoryCost   = 10 * time.Millisecond
	defaultPrefillSpeed = 20_000.0 // tokens per second
	defaultPrefillChunk = 2048     // tokens per step
	defaultSpeed        = 1.0
	defaultCacheBlocks  = 4096
	defaultWaiting      = 4096 // generations
)

// Bounds of the histories that an engine keeps.
const (
	maximumCacheEvents = 8192
	loadSamplesPerLag  = 16
)

// Output lengths of a Lengths that leaves them out.
const (
	defaultMedian  = 180.0 // tokens
	defaultSigma   = 1.4
	defaultMaximum = 40_000 // tokens
	minimumLength  = 3      // tokens
)
