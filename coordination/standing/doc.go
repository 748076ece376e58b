// Package standing decides what follows from what endpoints say of themselves in their answers: until when an endpoint is sent nothing because it
// asked for rest, and whether it leaves.
package standing
