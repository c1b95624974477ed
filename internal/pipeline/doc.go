// Package pipeline is an HTTP/1.1 server that handles pipelined requests concurrently. net/http handles the requests of a
// connection one after the other; this package runs their handlers at the same time and sends the responses in request
// order. It uses the request parser of net/http.
//
// It guarantees that an orderly close of a connection follows the response to the last request accepted from it, and that
// the contexts of its requests end as soon as the client closes the connection.
package pipeline
