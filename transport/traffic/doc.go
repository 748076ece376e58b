// Package traffic counts what an instance spends on control over HTTP, by kind of request.
package traffic
