// Package instance wires transport, protocol, coordination and state into one running instance.
package instance
