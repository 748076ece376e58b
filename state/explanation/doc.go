// Package explanation keeps the decisions and events of a limited number of recent requests, and finds those of one request in logs.
package explanation
