// Package peernet connects bramleypick's own processes over QUIC with mutual TLS. A peer is known by the common name of
// its certificate, and only configured peers are accepted.
//
// It offers three kinds of exchange: messages that may be lost (the replicated log's), calls with one response, and streams
// (forwarded requests). Delivery is not guaranteed, and nothing is sent twice by this package. A connection that has been
// silent for idleTimeout is closed and dialled again on the next use.
package peernet
