// Package process identifies the processes of endpoints.
package process
