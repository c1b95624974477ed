// Package bodybuffer holds request bodies in memory. Large ones are held in segments that later bodies use again: buffers that become
// garbage would take memory until they are collected, which no account shows.
package bodybuffer
