// Package experiment measures bramleypick with real processes on loopback: entry VMs, small test upstreams, and the open-loop
// load generator in this process. Every experiment is bounded in time, and ends the processes that it started.
package experiment
