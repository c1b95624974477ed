// Package cluster makes the processes of a deployment act together without a configured list. Each process dials the control
// replicas, which it finds from seed addresses and from what replicas tell. A replica tells every process that dialed it
// which processes are alive, what upstreams announced, and which configuration is in force.
//
// Configurations and evacuations are durable in the control group's log. Announcements and liveness live in memory: upstreams
// repeat them every second or two. An upstream's drain is acknowledged once a majority of the replicas holds it; every process
// that reaches them all then learns it from any of that majority.
package cluster
