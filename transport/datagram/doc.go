// Package datagram carries short messages between instances over UDP; they may be lost.
package datagram
