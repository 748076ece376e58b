// Package platform speaks to what the platform gives: the append-only log, the list of instances and the weight store.
package platform
