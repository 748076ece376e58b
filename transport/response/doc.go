// Package response makes sure that what an HTTP client takes for a response is one. net/http reads more than RFC 9112 allows: status lines such as
// "HTTP/1.1 000 OK", and field names with a blank; and it takes the end of a connection for the end of a body even if the connection was reset while the
// request was being sent. A server that fails may send any bytes, so they are checked on the connection, before net/http reads them.
package response
