package instance

import "dogwooddyke/transport/peer"

// Traffic gives the counters of what passes between this instance and others.
func (i *Instance) Traffic() *peer.Traffic { return i.node.Traffic() }
