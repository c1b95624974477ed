package peernet

import "github.com/quic-go/quic-go"

// abortCode is the QUIC application error code of an aborted stream.
const abortCode quic.StreamErrorCode = 1

type stream struct {
	*quic.Stream
}

func (s stream) CloseRead() { s.CancelRead(abortCode) }

func (s stream) Abort() {
	s.CancelWrite(abortCode)
	s.CancelRead(abortCode)
}
