package controlnode

import (
	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/wal"
)

// Bootstrap persists cfg.Bootstrap in the empty directory cfg.Dir as the initial membership of a new group, with the state
// of sm as the first snapshot. It fails if the directory already contains a group.
func Bootstrap(cfg Config, sm StateMachine) error {
	cfg = cfg.withDefaults()
	if !cfg.Bootstrap.Contains(cfg.ID) {
		return errors.Errorf("bootstrap membership does not contain replica %d", cfg.ID)
	}
	log, restored, err := wal.Open(cfg.FS, cfg.Dir, cfg.WAL)
	if err != nil {
		return err
	}
	defer log.Close()
	if restored.Snapshot.Index > 0 || len(restored.Entries) > 0 {
		return errors.Errorf("directory %s already holds a control group", cfg.Dir)
	}
	return saveBootstrap(&restored, cfg, log, sm)
}
