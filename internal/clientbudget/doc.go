// Package clientbudget accounts for the memory and the connections that clients make a process hold, and selects the connections to
// close when either is short. It does no I/O, has no clock and starts no goroutines.
package clientbudget
