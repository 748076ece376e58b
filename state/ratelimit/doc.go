// Package ratelimit holds the rates at which endpoints say that they take requests from all instances together.
package ratelimit
