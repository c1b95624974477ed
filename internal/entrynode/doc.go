// Package entrynode runs the process of an entry VM in deployments where upstreams announce themselves, clients resolve
// addresses, and processes discover each other. It combines the cluster membership, the data path, and the listeners,
// whose handlers an adapter provides.
package entrynode
