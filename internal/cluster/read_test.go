package cluster

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bramleypick/bramleypick/resultcode"
)

// Guards against a replica that transfers the whole view from the leader for each read, although it holds the same view.
func TestReplicaServesReadsFromItsOwnView(t *testing.T) {
	is := is.New(t)
	all := startDeployment(t, 3, 0)
	eventually(t, "all replicas vote", func() bool { return voterCount(all[0]) == 3 })
	is.Equal(submitUntilKnown(t, all[0], putCommand(1, 0)), resultcode.OK)
	for _, p := range all {
		eventually(t, "the replica has applied the change", func() bool { return configVersion(p) == 1 })
		eventually(t, "a read returns the replica's own view", func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			view, err := p.Read(ctx)
			return err == nil && view == p.runningReplica().machine.View()
		})
	}
}

// Guards against a replica that serves a read from its own view although the view lacks an acknowledged change. Every read
// after an acknowledgement must return at least that change, on each replica.
func TestReadsOnReplicasContainAcknowledgedChanges(t *testing.T) {
	is := is.New(t)
	all := startDeployment(t, 3, 1)
	eventually(t, "all replicas vote", func() bool { return voterCount(all[0]) == 3 })
	for version := uint64(1); version <= 40; version++ {
		is.Equal(submitUntilKnown(t, all[version%4], putCommand(version, version-1)), resultcode.OK)
		for _, p := range all {
			is.Equal(readVersion(t, p), version)
		}
	}
}
