// Package pipeline serves HTTP/1.1 connections on which clients send further requests before the first is answered. net/http
// handles such requests one after the other; here they are handled at the same time and answered in the order in which they
// were sent. Parsing is net/http's.
//
// It guarantees that a connection is closed in order only behind the answer to the last request that was taken from it, and
// that the contexts of its requests end as soon as the client closes it.
package pipeline
