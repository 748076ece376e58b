// Package endpoint keeps what is known of each endpoint: load, speed, memory and cached prompt prefixes.
package endpoint
