package model

import "time"

// Kind tells what happened to a generation.
type Kind uint8

// The kinds of event.
const (
	KindToken     Kind = iota // one token was emitted
	KindLast                  // the last token was emitted
	KindPreempted             // the generation lost its memory and waits again
)

// Event is one thing that happened in a step.
type Event struct {
	Generation *Generation
	Kind       Kind
	Index      int // of the token, from 0; the number emitted so far for KindPreempted
	At         time.Time
}
