// Package peer carries JSON-RPC calls between instances over connections that both sides have authenticated.
package peer
