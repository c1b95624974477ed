// Package controlstate implements the replicated state of the control group: configuration, sessions of gateways, upstreams
// and their owners, claims of requests that must run at most once, and reports of requests that crash upstreams.
//
// Machine is deterministic: replicas that apply the same commands in the same order, from the start or from a snapshot, hold
// the same state and return the same results. It reads no clock. The time is the largest timestamp that the leaders have set
// in the commands, so it never goes backwards.
package controlstate
