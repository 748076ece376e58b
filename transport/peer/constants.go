package peer

import "time"

// Bounds and timeouts of connections between instances.
const (
	maximumMessageBytes = 16 << 20
	maximumHandlers     = 4096 // calls being served at once
	maximumConnections  = 4096 // accepted connections
	handlerTimeout      = 30 * time.Second
	dialTimeout         = time.Second
	helloTimeout        = 2 * time.Second
	writeTimeout        = 5 * time.Second
	idleTimeout         = 2 * time.Minute
	nonceBytes          = 16
)

// Error codes beyond those of JSON-RPC.
const (
	codeFailed          = 1
	codeUnauthenticated = 2
)

// Methods of the handshake.
const (
	methodHello = "peer.hello"
	methodProve = "peer.prove"
)
