// Package relay forwards requests with opaque bodies from callers to endpoints: it sends each request to an endpoint, forwards the
// answer unchanged, and retries or continues at another endpoint if that is allowed and the endpoint fails or is leaving.
package relay
