// Package standin has small stand-ins of model engines, plain services and the platform, with faults, for tests, demo and load.
package standin
