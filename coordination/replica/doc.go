// Package replica keeps an instance's catalogue at the head of the log, through outages, gaps and peers.
package replica
