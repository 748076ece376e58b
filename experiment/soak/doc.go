// Package soak runs instances as processes of their own before stand-ins on loopback, breaks them, their engines, their log and the
// links between in series that overlap, and checks from what callers and engines see that the promises hold.
package soak
