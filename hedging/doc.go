// Package hedging decides when a repeatable request that has no response yet is sent to a second upstream, within a limit on the
// extra work. The delay follows the measured distribution of the response times of the request's route.
//
// The package does no I/O and reads no clock. A Policy must be used by one goroutine at a time.
package hedging
