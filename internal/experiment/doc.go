// Package experiment measures bramleypick with real processes on loopback: entry VMs and test upstreams as child
// processes, and the open-loop load generator in this process. Every experiment is bounded in time and ends the
// processes it started.
//
// In the arguments of the experiments, dir is the directory for the settings, data and logs of the processes, basePort is
// the first of the consecutive loopback ports that they use, and progress receives a text summary of each result.
package experiment
