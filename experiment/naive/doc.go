// Package naive is a round-robin proxy without retries, queues or checks: the baseline of measurements.
package naive
