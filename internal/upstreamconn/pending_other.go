//go:build !unix

package upstreamconn

// noPendingBytes cannot tell on this system; the response check by request id remains.
func noPendingBytes(uintptr) bool { return true }
