// Package explain reconstructs the course of one request from the logs of several processes, with the state that each
// process had at the time.
package explain
