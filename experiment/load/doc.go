// Package load sends open-loop traffic in the shape of a profile to instances and checks every answer.
package load
