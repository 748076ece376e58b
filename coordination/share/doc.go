// Package share divides endpoints and workspace limits among instances by shares that end at a time.
// Each endpoint and each workspace's limit has a steward among the instances; two at once cost efficiency, not correctness.
package share
