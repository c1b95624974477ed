// Package roster implements the membership list: the processes of the system and which of them are alive. The list is not
// configured. Every process reports itself to the control replicas, and they propagate the reports to all other processes.
// The package performs no I/O and reads no clock; callers pass the time.
package roster
