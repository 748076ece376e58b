package control

import "time"

// Shape of a run.
const (
	endpointsPerNode = 3  // rows of endpoints on the list for each instance
	entries          = 99 // 33 models in 3 regions
	pollInterval     = 20 * time.Millisecond
	readyTimeout     = 30 * time.Second
	warmUp           = 4 * time.Second
	inForceBound     = 11 * time.Second
)

// Kinds of control traffic.
const (
	kindPeers     = "peers"     // heartbeats and pushes, with the framing of their connections
	kindCatalogue = "catalogue" // reads of the catalogue's stream
	kindLeases    = "leases"    // leases' streams
	kindList      = "list"      // the platform's list
)

const peerKey = "key-of-the-control-experiment-012345"
