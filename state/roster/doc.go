// Package roster holds the newest known state of the endpoints: which are alive, what they serve and which are leaving.
package roster
