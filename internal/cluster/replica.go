package cluster

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleypick/bramleypick/internal/controlnode"
	"github.com/bramleypick/bramleypick/replog"
	"github.com/bramleypick/bramleypick/roster"
	"github.com/bramleypick/bramleypick/routingstate"
	"github.com/bramleypick/bramleypick/vfs"
)

// replicaIDFile is the name of the file with the id of the replica. A replica that lost its disk has no such file and
// generates a new id, because it could vote twice in one term under the old one.
const replicaIDFile = "replica-id"

// replica is the control replica of this process.
type replica struct {
	id      replog.NodeID
	node    *controlnode.Node
	machine *routingstate.Machine
	history *history
	// compressed is the newest view with its sources.
	compressed sharedBytes
}

// observedMachine calls onChange after each command that changed the view and after each restored snapshot. It records
// the commands that changed the view in the history.
type observedMachine struct {
	*routingstate.Machine
	history  *history
	onChange func(*routingstate.View)
	log      *zap.Logger
}

// Apply implements controlnode.StateMachine.
func (m *observedMachine) Apply(index uint64, data []byte) []byte {
	before := m.View().Index
	result := m.Machine.Apply(index, data)
	if view := m.View(); view.Index != before {
		if err := m.history.add(before, view, data); err != nil {
			m.log.Error("failed to record the change, other processes fetch the whole view", zap.Error(err))
		}
		m.onChange(view)
	}
	return result
}

// Restore implements controlnode.StateMachine.
func (m *observedMachine) Restore(data []byte) error {
	err := m.Machine.Restore(data)
	m.onChange(m.View())
	return err
}

// diskFullPause is the time between two attempts to run the replica while its disk is full. Each one rewrites the last segment of the
// log, which has up to 8 MB.
const diskFullPause = time.Second

// runReplica runs the control replica until ctx ends or its disk fails. While the disk is full, there is no replica: others elect
// another leader, this process forwards reads to it, and the replica continues from its log once writes succeed.
func (c *Cluster) runReplica(ctx context.Context) error {
	var start replicaStart
	for full := false; ; full = true {
		err := c.runReplicaOnce(ctx, &start)
		if err == nil || !vfs.IsFull(err) {
			return err
		}
		c.mu.Lock()
		c.diskFull = true
		c.mu.Unlock()
		if !full {
			c.log.Error("the disk is full, the replica waits", zap.Uint64("replica", uint64(start.id)), zap.Error(err))
		}
		select {
		case <-time.After(diskFullPause):
		case <-ctx.Done():
			return nil
		}
	}
}

// replicaStart is what the first attempt to start the replica has found.
type replicaStart struct {
	id        replog.NodeID
	fresh     bool
	asked     bool // whether this replica should create the control group
	bootstrap replog.Membership
}

func (c *Cluster) runReplicaOnce(ctx context.Context, start *replicaStart) error {
	if start.id == 0 {
		id, fresh, err := loadReplicaID(c.cfg.FS, c.cfg.DataDir)
		if err != nil {
			return err
		}
		start.id, start.fresh = id, fresh
	}
	if !start.asked {
		if start.fresh && c.cfg.AllowBootstrap && c.shouldBootstrap(ctx) {
			start.bootstrap.Voters = []replog.NodeID{start.id}
		}
		if ctx.Err() != nil {
			return nil
		}
		start.asked = true
	}
	machine := &observedMachine{Machine: routingstate.New(), history: &history{}, onChange: c.installView, log: c.log}
	node, err := controlnode.Start(controlnode.Config{
		ID: start.id, Dir: filepath.Join(c.cfg.DataDir, "log"), FS: c.cfg.FS, Bootstrap: start.bootstrap, DemoteAfter: demoteAfter,
	}, machine, replicaTransport{c})
	if err != nil {
		return errors.Wrap(err, "start the control replica")
	}
	c.setReplica(&replica{id: start.id, node: node, machine: machine.Machine, history: machine.history}, len(start.bootstrap.Voters) > 0)
	c.log.Info("replica started", zap.Uint64("replica", uint64(start.id)), zap.Bool("fresh", start.fresh),
		zap.Bool("founder", len(start.bootstrap.Voters) > 0))
	c.updateSelf(func(n *roster.Node) { n.ReplicaID = uint64(start.id) })
	c.manageMembership(ctx, node)
	select {
	case err := <-node.Failed():
		c.setReplica(nil, false)
		_ = node.Stop() // the log has failed already
		return errors.Wrap(err, "control replica failed")
	default:
	}
	return errors.Wrap(node.Stop(), "stop the control replica")
}

// distributes reports whether this process sends its subscribers what it knows of processes and upstreams, and relays their reports.
// This takes no disk, so that a replica does it also while its disk is full.
func (c *Cluster) distributes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica != nil || c.diskFull
}

// setReplica sets the running replica, or nil while its disk is full.
func (c *Cluster) setReplica(r *replica, founder bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replica, c.diskFull = r, r == nil
	c.bootstrapped = c.bootstrapped || founder
	for _, s := range c.subscribers {
		s.full = true // before, they were sent only the addresses of other replicas, or no index of the view
	}
	signal(c.publishSignal)
}

func (c *Cluster) runningReplica() *replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica
}

// loadReplicaID reads the id of the replica from the data directory. If there is none, it generates and persists one
// and returns fresh as true.
func loadReplicaID(fsys vfs.FS, dir string) (id replog.NodeID, fresh bool, err error) {
	if err := fsys.MkdirAll(dir); err != nil {
		return 0, false, errors.Wrap(err, "create the data directory")
	}
	name := filepath.Join(dir, replicaIDFile)
	data, err := vfs.ReadFile(fsys, name)
	if err == nil {
		text := strings.TrimSpace(string(data))
		if number, parseErr := strconv.ParseUint(text, 10, 64); parseErr == nil && strings.HasSuffix(string(data), "\n") {
			return replog.NodeID(number), false, nil
		}
		// The file is torn. Its id was never used, because an id is used only after the file was synced.
		if err := fsys.Remove(name); err != nil {
			return 0, false, errors.Wrap(err, "remove the torn replica id file")
		}
	} else if !errors.Is(err, fs.ErrNotExist) {
		return 0, false, errors.Wrap(err, "read the replica id")
	}
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, false, errors.Wrap(err, "generate a replica id")
	}
	id = replog.NodeID(binary.BigEndian.Uint64(random[:]) | 1)
	return id, true, errors.Wrap(saveReplicaID(fsys, dir, name, id), "save the replica id")
}

func saveReplicaID(fsys vfs.FS, dir, name string, id replog.NodeID) error {
	if err := writeFile(fsys, name, []byte(strconv.FormatUint(uint64(id), 10)+"\n")); err != nil {
		return err
	}
	return fsys.SyncDir(dir)
}

// shouldBootstrap reports whether this process should create the control group, which the first seed with a disk does.
// It returns true once all seeds listed before this process have replied that they have no disk, and false once a seed
// has replied that a group exists or ctx ends.
func (c *Cluster) shouldBootstrap(ctx context.Context) bool {
	ticker := time.NewTicker(maintenanceInterval / 4)
	defer ticker.Stop()
	for {
		first := true
		for _, seed := range c.cfg.Seeds() {
			if seed == c.cfg.Self.PeerAddress {
				if first {
					return true
				}
				continue
			}
			s, err := c.peerStatus(ctx, seed)
			if err == nil && s.Bootstrapped {
				return false
			}
			if err != nil || s.HasDisk {
				first = false
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

func (c *Cluster) peerStatus(ctx context.Context, address string) (status, error) {
	var s status
	c.mu.Lock()
	l := c.dialed[address]
	c.mu.Unlock()
	if l == nil {
		return s, errors.Errorf("no open link to %s", address)
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	data, err := l.Call(ctx, methodStatus, nil)
	if err != nil {
		return s, err
	}
	return s, decode(data, &s)
}

// replicaTransport sends messages of the replicated log on the links that this process dialed.
type replicaTransport struct{ cluster *Cluster }

// Send implements controlnode.Transport.
func (t replicaTransport) Send(to replog.NodeID, m replog.Message) {
	c := t.cluster
	n, ok := c.nodes.NodeByReplicaID(uint64(to))
	if !ok {
		return
	}
	c.mu.Lock()
	l := c.dialed[n.PeerAddress]
	c.mu.Unlock()
	if l == nil {
		return
	}
	body, err := encode(m)
	if err != nil {
		c.log.Error("failed to encode a replicated-log message", zap.Error(err))
		return
	}
	l.Send(methodReplog, body)
}
