package entrynode

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/asynclog"
	"github.com/bramleypick/bramleypick/internal/pipeline"
)

// entryServer returns the server of the entry address.
func (n *Node) entryServer() *pipeline.Server {
	return &pipeline.Server{
		Handler: n.gateway, IdleTimeout: idleTimeout, ReadTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes,
		MaxHeaderLines: maxHeaderLines, MaxBodyBytes: maxBodyBytes, BodyLimit: n.gateway.BodyLimit, MaxBufferedBytes: n.settings.Load().clientMemory(),
		MaxConnections: n.settings.Load().files(entryFileShare), Budget: n.budget, Bodies: &n.bodies, RefusalBody: refusalBody,
		OnRefused: n.countRefusal, OnDisplaced: n.logDisplaced,
		OnBodyRefused: func(r *http.Request) {
			n.log.Warn("refused, the bodies of the requests in flight take too much memory", zap.Int64("bytes", r.ContentLength),
				zap.String("request", asynclog.Abbreviate(r.Header.Get(n.adapter.Protocol().RequestIDHeader))))
		},
		OnPanic: n.logPanic,
	}
}
