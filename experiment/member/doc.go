// Package member starts instances in this process, on loopback ports, before the stand-ins of an experiment.
package member
