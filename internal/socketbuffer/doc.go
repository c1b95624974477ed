// Package socketbuffer limits what the system holds of the bytes that have arrived on a connection and are not read yet. On Linux the
// buffer of a connection otherwise grows to several megabytes.
package socketbuffer
