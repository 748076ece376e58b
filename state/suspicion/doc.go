// Package suspicion finds the parts of prompts that crash endpoints, from which requests were at endpoints that crashed and which were
// answered.
package suspicion
