// Package reclaim models engines that are taken away at short notice, in synthetic time, and compares in which order and when their
// runs are copied off them. Only the links are modelled: turns and stops are the decisions that instances make.
package reclaim
