// Package certificate keeps TLS certificates that are read again while the program runs.
package certificate
