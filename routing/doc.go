// Package routing holds the configuration that operators put in force: routes, services and limits. It decides which
// configurations are valid, how a change by names is merged, which route a request takes and which service of a traffic
// split gets it. Everything is pure; a Config and a Table are immutable once they are shared.
package routing
