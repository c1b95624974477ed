// Package routing holds the configuration that operators submit: routes, services, accounts and limits. It validates configurations,
// applies patches of named items, matches requests to routes, and selects services of traffic splits. It performs no I/O. A
// Config and a Table are immutable once they are shared.
package routing
