package daemon

import (
	"context"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/controlstate"
	"github.com/bramleypick/bramleypick/internal/controlnode"
	"github.com/bramleypick/bramleypick/internal/controlplane"
	"github.com/bramleypick/bramleypick/internal/controlproto"
	"github.com/bramleypick/bramleypick/internal/peernet"
	"github.com/bramleypick/bramleypick/internal/settings"
	"github.com/bramleypick/bramleypick/replog"
)

// replica is the control replica of this process.
type replica struct {
	node   *controlnode.Node
	server *controlplane.Server
	names  map[replog.NodeID]string
}

// replicaTransport sends messages of the replicated log to the peers that run the other replicas.
type replicaTransport struct {
	network *peernet.Network
	names   map[replog.NodeID]string
	log     *zap.Logger
}

// Send queues a message and never blocks.
func (t replicaTransport) Send(to replog.NodeID, m replog.Message) {
	data, err := controlproto.Encode(m)
	if err != nil {
		t.log.Error("failed to encode a replicated-log message", zap.Error(err))
		return
	}
	t.network.Send(t.names[to], append([]byte{byte(messageReplog)}, data...))
}

// notifyingMachine is a state machine that calls onChange after each command and each restored snapshot, because the
// view may have changed.
type notifyingMachine struct {
	*controlstate.Machine
	onChange func()
}

// Apply applies a command and calls onChange.
func (m *notifyingMachine) Apply(index uint64, data []byte) []byte {
	result := m.Machine.Apply(index, data)
	m.onChange()
	return result
}

// Restore replaces the state by a snapshot and calls onChange.
func (m *notifyingMachine) Restore(data []byte) error {
	err := m.Machine.Restore(data)
	m.onChange()
	return err
}

// replicaNames returns the VM names of the control replicas by node id.
func replicaNames(s settings.Settings) map[replog.NodeID]string {
	names := map[replog.NodeID]string{}
	if s.HasRole(settings.RoleControl) {
		names[replog.NodeID(s.NodeID)] = s.Name
	}
	for _, p := range s.Peers {
		if p.NodeID != 0 {
			names[replog.NodeID(p.NodeID)] = p.Name
		}
	}
	return names
}

// replicaInfos returns the VM names and availability zones of the control replicas by node id.
func replicaInfos(s settings.Settings) map[replog.NodeID]controlplane.Replica {
	infos := map[replog.NodeID]controlplane.Replica{}
	if s.HasRole(settings.RoleControl) {
		infos[replog.NodeID(s.NodeID)] = controlplane.Replica{Name: s.Name, Zone: s.Zone}
	}
	for _, p := range s.Peers {
		if p.NodeID != 0 {
			infos[replog.NodeID(p.NodeID)] = controlplane.Replica{Name: p.Name, Zone: p.Zone}
		}
	}
	return infos
}

// callTransport implements controlclient.Transport. It calls peers over the network and handles calls to this process
// directly.
type callTransport struct {
	name    string
	network *peernet.Network
	handler peerHandler
}

// Call calls a peer, or this process, by VM name.
func (c callTransport) Call(ctx context.Context, to string, data []byte) ([]byte, error) {
	if to == c.name {
		return c.handler.HandleCall(ctx, c.name, data)
	}
	return c.network.Call(ctx, to, data)
}

// controlDataDir returns the directory of the replicated log, below the data directory.
func controlDataDir(s settings.Settings) string {
	return filepath.Join(s.DataDir, "control")
}

// stop closes the replicated log. It does not transfer leadership: if this replica is the leader, the others elect a
// new one within about a second.
func (r *replica) stop() error {
	return errors.Wrap(r.node.Stop(), "stop the control replica")
}

// startReplica opens the data directory and starts the control replica.
func (d *Daemon) startReplica() error {
	s := d.settings
	names := replicaNames(s)
	machine := &notifyingMachine{Machine: controlstate.New(controlstate.Options{})}
	var server *controlplane.Server
	started := make(chan struct{})
	machine.onChange = func() {
		// controlnode.Start restores snapshots and applies commands before the server exists.
		select {
		case <-started:
			server.PublishView()
		default:
		}
	}
	node, err := controlnode.Start(controlnode.Config{
		ID: replog.NodeID(s.NodeID), Dir: controlDataDir(s), MaxMessageBytes: controlstate.MaxCommandBytes,
	}, machine, replicaTransport{network: d.network, names: names, log: d.log.Named("replog")})
	if err != nil {
		return errors.Wrap(err, "start the control replica")
	}
	server = controlplane.New(controlplane.Config{
		Node: node, Machine: machine.Machine, Replicas: replicaInfos(s),
		SessionTTL: time.Duration(s.SessionTTLMillis) * time.Millisecond, Log: d.log.Named("control"),
	})
	close(started)
	server.PublishView()
	d.replica = &replica{node: node, server: server, names: names}
	return nil
}

// Bootstrap creates the control group: it writes the initial membership into an empty data directory. Run it once on
// each of the initial replicas and never again. A replica that lost its disk and is bootstrapped again has also lost
// its votes and could vote twice in one term.
func Bootstrap(s settings.Settings) error {
	if !s.HasRole(settings.RoleControl) || len(s.BootstrapVoters) == 0 {
		return errors.New("the settings have no control role or no bootstrap_voters")
	}
	var membership replog.Membership
	for _, id := range s.BootstrapVoters {
		membership.Voters = append(membership.Voters, replog.NodeID(id))
	}
	return errors.Wrap(controlnode.Bootstrap(controlnode.Config{
		ID: replog.NodeID(s.NodeID), Dir: controlDataDir(s), Bootstrap: membership,
	}, controlstate.New(controlstate.Options{})), "bootstrap the control group")
}
