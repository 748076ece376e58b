// Package firsttoken predicts when an engine produces the first token of a request. Engines process all their prompts side by side, so that a long prompt
// holds up short ones and each one that is added delays the others.
package firsttoken
