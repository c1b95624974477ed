// Package balancing decides for one service in one gateway which upstream gets a request. It answers a load that changes
// within milliseconds: hosts shared with noisy neighbours, on which an upstream runs several times slower for half a second.
// The gateway therefore asks the best candidates for their load just before it sends, and ranks them by the time after which
// they would answer.
//
// It is pure: there is no network and no clock in it, and a Service must be used by one goroutine at a time.
package balancing
