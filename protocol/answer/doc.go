// Package answer carries one generation from its admission to its last token, through lost connections, engines and instances.
package answer
