// Package controlstate is the replicated state of the control group: configuration, sessions of gateways, upstreams and
// their owners, claims of requests that must not run twice, and reports of requests that crash upstreams.
//
// Machine guarantees that replicas which apply the same commands in the same order, from the start or from a snapshot,
// hold the same state and return the same results. It reads no clock: time is the leader's clock in the commands, and
// never goes backwards.
package controlstate
