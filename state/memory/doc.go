// Package memory bounds the bytes that an instance holds for callers and endpoints which send or read slowly.
package memory
