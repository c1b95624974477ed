// Package routingstate is the replicated state machine of routing configurations and zone evacuations. An accepted change is
// answered as at first when it is sent again; two changes on top of the same version are never both accepted.
package routingstate
