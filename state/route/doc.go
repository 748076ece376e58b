// Package route holds the routing table for requests with opaque bodies: the service for a host and path, whether a request may be
// repeated, and the workspace that holds an API key.
package route
