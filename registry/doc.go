// Package registry holds what upstreams announced about themselves. Copies of it in several processes converge: entries
// merge by the birth of the upstream's process and the sequence number of its announcement, in any order and any number of
// times. It is pure; time is passed in.
package registry
