// Package explain finds in the logs of several processes what became of one request, and what each process believed then.
package explain
