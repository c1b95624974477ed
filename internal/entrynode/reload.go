package entrynode

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

// reload rereads the settings every second, because they may change without a signal. It applies them only if the seeds
// changed.
func (n *Node) reload(ctx context.Context) {
	for {
		select {
		case <-time.After(maxRefreshInterval):
		case <-ctx.Done():
			return
		}
		s, err := n.adapter.Reload()
		if err != nil {
			n.log.Warn("failed to reload the settings", zap.Error(err))
			continue
		}
		if old := n.settings.Load(); !slices.Equal(old.SeedPeers, s.SeedPeers) {
			n.log.Info("seeds changed", zap.Strings("seeds", s.SeedPeers))
			n.settings.Store(&s)
		}
	}
}
