// Package routing admits generation requests and calls to endpoints: it queues or refuses each one, chooses its endpoint, and tracks
// the load that this instance's requests put on each endpoint.
package routing
