package entrynode

import (
	"time"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/asynclog"
)

// Operation is a call of an operator that was answered.
type Operation struct {
	// Name is the name of the call in the adapter's API.
	Name string
	// Status is the HTTP status, and Bytes the size of the response body.
	Status int
	Bytes  int64
	// StartedAt is when the request header was read.
	StartedAt time.Time
}

// LogOperation writes the log line of an operator's call. Its duration includes writing the response.
func (n *Node) LogOperation(o Operation) {
	n.log.Info("operator call", zap.String("call", asynclog.Abbreviate(o.Name)), zap.Int("status", o.Status), zap.Int64("bytes", o.Bytes),
		zap.Float64("ms", float64(time.Since(o.StartedAt).Microseconds())/1000))
}
