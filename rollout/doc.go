// Package rollout decides how the traffic of a service moves from the upstreams of one version to those of another: which share of
// the requests the new version gets, whether the evidence shows that it is worse than the old one over the same period, and when
// the old version is no longer needed. It has no network, clock or goroutines.
//
// A Counter counts what one gateway sees. Its reports are cumulative, so that a report that is lost, repeated or sent to another
// leader neither loses nor doubles a request. A Decider takes the reports of all gateways and returns one Decision at a time.
package rollout
