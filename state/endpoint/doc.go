// Package endpoint models the state of one endpoint: its load, speed, health, shares of its capacity and cached prompt prefixes.
package endpoint
