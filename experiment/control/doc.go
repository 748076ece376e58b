// Package control runs the parts of instances that agree with each other, without callers, and measures what they cost.
package control
