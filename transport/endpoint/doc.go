// Package endpoint speaks HTTP to model engines and plain services.
package endpoint
