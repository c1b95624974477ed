// Package balancing selects the upstream for each request of one service in one gateway. It is designed for upstreams
// whose load changes within milliseconds, on hosts shared with noisy neighbours, where an upstream can run several
// times slower for half a second. The gateway therefore probes the best candidates for their load just before it sends
// a request, and ranks them by expected response time.
//
// The package does no I/O and reads no clock. A Service must be used by one goroutine at a time.
package balancing
