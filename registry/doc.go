// Package registry holds the announcements of upstreams. Replicas of the registry in several processes converge: entries are
// merged by the incarnation of the upstream and the sequence number of the announcement, and may arrive in any order and any
// number of times. The package performs no I/O and reads no clock; callers pass the time.
package registry
