// Package hosted wires the components of an instance that runs on its users' platform.
package hosted
