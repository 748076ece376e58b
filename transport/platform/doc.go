// Package platform speaks to what the platform gives: the append-only log and the list of instances.
package platform
