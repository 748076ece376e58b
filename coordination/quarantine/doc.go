// Package quarantine keeps requests from endpoints that have a part that crashes endpoints: one of their prompt, or the request as a whole, which
// comes again and again. The instances share which requests were at endpoints that crashed and which parts endpoints have answered on. A request
// with a suspected part is sent only as a trial: one at a time, and more rarely after each one that crashes an endpoint again.
package quarantine
