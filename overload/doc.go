// Package overload decides which requests of one service are admitted when its upstreams cannot run all of them. Requests are
// ordered by priority. Those above a level are admitted, and at the level a share, which is divided fairly among accounts. Each
// class keeps a small share however low its priority, so that none is starved.
//
// Gateways count the work that arrives by class, the work that found an upstream that responds in time, and the work that found
// none. They exchange these counts every 250 ms while there is an overload, and each one computes the same shares from their sums.
// Work is measured in ms of the mean service time of a route, and rates are per reporting gateway and report interval, so that
// neither the number of gateways nor the timing of messages matters.
//
// The package does no I/O and reads no clock. A Controller must be used by one goroutine at a time.
package overload
