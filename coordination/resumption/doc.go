// Package resumption finds out at which version of the endpoints' software a stream began that its caller takes up again, at whatever instance.
package resumption
