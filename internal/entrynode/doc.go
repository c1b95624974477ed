// Package entrynode runs the one process of an entry VM where upstreams announce themselves, clients ask for addresses, and no
// process is told of the others: the cluster part, the data path, and the listeners that an adapter gives handlers for.
package entrynode
