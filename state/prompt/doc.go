// Package prompt identifies the parts of requests that several requests may share: those of their prompts, and the request as a whole.
package prompt
