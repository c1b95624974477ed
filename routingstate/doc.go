// Package routingstate implements the replicated state machine of routing configurations and evacuations of availability
// zones. A retry of an accepted change succeeds without applying it again. Of two changes with the same base version, at most
// one is accepted.
package routingstate
