// Package gossip holds the reports that instances send each other a few times a second about themselves: what they have in progress at
// each endpoint, which endpoints they know to be leaving, and which catalogue version they use. Gossip needs no consensus: late or lost
// reports reduce efficiency only, not correctness.
package gossip
