// Package peernet connects the processes of bramleypick over QUIC with mutual TLS. A peer is identified by the common name
// of its certificate, and only configured peers are accepted.
//
// It provides unreliable messages (used by the replicated log), calls with one response, and byte streams (used for
// forwarded requests). Delivery is not guaranteed, and the package never resends anything. A connection on which nothing
// was received for idleTimeout is closed, and dialed again on the next use.
package peernet
