// Package answer runs a generation request from admission to its last token, and recovers from lost connections, engines and
// instances by reconnecting, starting new generations and verifying their replay.
package answer
