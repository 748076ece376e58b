// Package prompt identifies the parts of prompts, which several requests may share.
package prompt
