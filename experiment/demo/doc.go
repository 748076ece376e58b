// Package demo runs stand-ins and instances in one process, sends the traffic of both deployments through them while
// things fail, and checks what must hold.
package demo
