// Package message encodes and decodes the messages between instances.
package message
