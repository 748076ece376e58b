// Package routing admits requests to endpoints: it queues them, chooses an endpoint and keeps account of what each one carries.
package routing
