// Package share divides endpoints and workspace limits among the instances by shares that expire. Each endpoint and each limit of a
// workspace has a steward among the instances, which grants its shares; two stewards at the same time reduce efficiency, not correctness.
package share
