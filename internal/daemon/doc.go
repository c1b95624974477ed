// Package daemon wires the parts of one process together: it provisions them from validated settings, starts them, and
// stops them gracefully.
package daemon
