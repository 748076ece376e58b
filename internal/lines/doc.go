// Package lines provides a non-blocking writer for log lines.
package lines
