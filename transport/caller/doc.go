// Package caller serves callers over HTTP: generations in OpenAI's wire, answers to go on with, and plain services.
package caller
