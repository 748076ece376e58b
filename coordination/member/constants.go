package member

import "time"

// Bounds of the table.
const (
	MaximumMembers   = 8192  // instances
	MaximumEndpoints = 16384 // endpoints that a source calls leaving
	MaximumNews      = 64    // items of news in one heartbeat
	maximumQueue     = 512   // items of news kept for neighbours
)

// Times of the evidence rules.
const (
	BeatInterval   = 2 * time.Second  // between heartbeats to one neighbour
	SuspectAfter   = 7 * time.Second  // silence of a neighbour before it is suspected
	HoldDown       = 5 * time.Second  // a suspicion that nobody refutes for this long removes the member
	HoldUp         = 10 * time.Second // evidence of life that lasts this long brings a removed member back
	MaximumHoldUp  = 5 * time.Minute  // after repeated removals
	FlapForgetting = 10 * time.Minute // of life without removal
	LeavingMemory  = time.Minute      // of news that an address is leaving, unless its source repeats it
	ReadyLag       = 15 * time.Second // of an endpoint's own word on its state
	PauseAfter     = 5 * time.Second  // between ticks: this instance itself was paused, so others' silence shows nothing
)

// Neighbours is the number of instances that each instance sends heartbeats to.
const Neighbours = 4

// absencesToRemove is the number of successive lists without a member that remove it.
const absencesToRemove = 2

// Pacing of the loops.
const (
	ListInterval = time.Second            // between two reads of the list by one instance, at least
	listShare    = 333 * time.Millisecond // between two reads of the list by all instances together
	listTimeout  = 5 * time.Second
	beatTimeout  = time.Second
	newsGap      = 50 * time.Millisecond // between two heartbeats because of news
)
