// Package daemon assembles the process of an entry VM: it creates the components from validated settings, starts them,
// and shuts them down gracefully.
package daemon
