// Package suspicion finds the parts of requests that crash endpoints, from which requests were at endpoints that crashed and which were
// answered. The last part of a request stands for the request as a whole; the others are those of its prompt.
package suspicion
