// Package jsonsize estimates the memory that a JSON text takes once it is decoded, before it is.
package jsonsize
