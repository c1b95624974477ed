// Package cluster connects the processes of a deployment without a configured member list. Each process dials the
// control replicas, which it discovers from seed addresses and from the updates of other replicas. A replica sends
// every process that dialed it the live processes, the announcements of upstreams, and the index of the configuration
// view in force.
//
// Configurations and evacuations are durable in the log of the control group. Announcements and liveness are kept in
// memory, since upstreams repeat their announcements every second or two. Processes with a data directory also save the
// announced upstreams, so that they are known again after a restart of the whole deployment. The drain of an upstream is
// acknowledged once a majority of the replicas has stored it; every process that reaches all replicas then receives it
// from any member of that majority.
package cluster
