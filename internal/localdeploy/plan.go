// Package localdeploy writes the settings, certificates and operator token of a local deployment, whose VMs are
// processes on loopback addresses of one machine, and runs its processes.
package localdeploy

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/bramleypick/bramleypick/internal/settings"
)

// Plan describes a local deployment.
type Plan struct {
	// Dir is the directory for all files of the deployment.
	Dir string
	// Zones are the names of the availability zones. VMs are assigned to them round-robin.
	Zones []string
	// VMs is the number of entry VMs.
	VMs int
	// ControlReplicas is the number of VMs that run a control replica: 1, 3 or 5.
	ControlReplicas int
	// BasePort is the first port; each VM uses three consecutive ones.
	BasePort int
}

// portsPerVM is the number of ports of a VM: one each for callers, operators and peers.
const portsPerVM = 3

// vmPlan describes one VM of the deployment.
type vmPlan struct {
	name   string
	zone   string
	nodeID uint64
	ip     netip.Addr
	port   int
}

func (p Plan) validate() error {
	last := p.BasePort + p.VMs*portsPerVM
	switch {
	case len(p.Zones) == 0:
		return errors.New("no availability zone given, need at least one")
	case p.VMs < 1 || p.ControlReplicas > p.VMs:
		return errors.Errorf("%d VMs cannot hold %d control replicas", p.VMs, p.ControlReplicas)
	case p.ControlReplicas != 1 && p.ControlReplicas != 3 && p.ControlReplicas != 5:
		return errors.Errorf("%d control replicas, allowed are 1, 3 and 5", p.ControlReplicas)
	case p.BasePort < 1024 || last > 65535:
		return errors.Errorf("ports %d to %d are not all within 1024 to 65535", p.BasePort, last)
	}
	return nil
}

func (p Plan) vms() []vmPlan {
	vms := make([]vmPlan, p.VMs)
	for i := range vms {
		vms[i] = vmPlan{
			name: VMName(i),
			zone: p.Zones[i%len(p.Zones)],
			ip:   netip.AddrFrom4([4]byte{127, 0, 0, 1}),
			port: p.BasePort + i*portsPerVM,
		}
		if i < p.ControlReplicas {
			vms[i].nodeID = uint64(i + 1)
		}
	}
	return vms
}

// VMName returns the name of the VM with index i, which also names its settings file and its log.
func VMName(i int) string { return fmt.Sprintf("vm%02d", i+1) }

func (v vmPlan) address(offset int) string {
	return netip.AddrPortFrom(v.ip, uint16(v.port+offset)).String()
}

func (v vmPlan) peer() settings.Peer {
	return settings.Peer{
		Name: v.name, Zone: v.zone, NodeID: v.nodeID, CallerAddress: v.address(0), PeerAddress: v.address(2),
	}
}
