package settings

import (
	"fmt"
	"net/netip"
	"slices"
)

// address checks an address of the VM named vm. Two listeners of the same network ("tcp" or "udp") need different
// addresses.
func (v *validator) address(path, value, network, vm string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Addr().Zone() != "" || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Port() == 0 {
		v.faults.add(path, value, "IP:port with the IP address of one host and a port of 1 to 65535")
		return
	}
	key := network + " " + netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String()
	if first, ok := v.addressPaths[key]; ok {
		v.faults.add(path, value, fmt.Sprintf("an address of its own; %s has this one", first))
		return
	}
	if v.addressPaths == nil {
		v.addressPaths = map[string]string{}
	}
	v.addressPaths[key] = path + " of " + vm
}

func (v *validator) roles(s Settings) {
	if len(s.Roles) == 0 {
		v.faults.add("roles", "", "at least one of gateway, control")
	}
	for i, r := range s.Roles {
		path := fmt.Sprintf("roles[%d]", i)
		if r != RoleGateway && r != RoleControl {
			v.faults.add(path, string(r), "gateway or control")
		} else if slices.Contains(s.Roles[:i], r) {
			v.faults.add(path, string(r), "each role once")
		}
	}
	if len(s.Roles) > 0 && !s.HasRole(RoleGateway) {
		// The operator API needs the view of the control state, which only a process with the gateway role has.
		v.faults.add("roles", string(s.Roles[0]), "gateway, or gateway and control")
	}
	if !s.HasRole(RoleControl) {
		if s.NodeID != 0 {
			v.faults.add("node_id", s.NodeID, "no node id on a VM without the role control")
		}
		return
	}
	if s.DataDir == "" {
		v.faults.add("data_dir", "", "a directory, which the role control needs")
	}
	if s.NodeID == 0 {
		v.faults.add("node_id", "", "a number above 0, which the role control needs")
	}
}

func (v *validator) peers(s Settings) {
	v.namePaths = map[string]string{s.Name: "name"}
	v.nodeIDPaths = map[uint64]string{}
	if s.NodeID != 0 {
		v.nodeIDPaths[s.NodeID] = "node_id"
	}
	for i, p := range s.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		v.name(path+".name", p.Name)
		if first, ok := v.namePaths[p.Name]; ok && p.Name != "" {
			v.faults.add(path+".name", p.Name, fmt.Sprintf("a name of its own; %s has this one", first))
		} else {
			v.namePaths[p.Name] = path + ".name"
		}
		v.name(path+".zone", p.Zone)
		if first, ok := v.nodeIDPaths[p.NodeID]; ok && p.NodeID != 0 {
			v.faults.add(path+".node_id", p.NodeID, fmt.Sprintf("a node id of its own; %s has this one", first))
		} else if p.NodeID != 0 {
			v.nodeIDPaths[p.NodeID] = path + ".node_id"
		}
		v.address(path+".peer_address", p.PeerAddress, "udp", p.Name)
		v.address(path+".caller_address", p.CallerAddress, "tcp", p.Name)
	}
}

func (v *validator) bootstrapVoters(s Settings) {
	switch len(s.BootstrapVoters) {
	case 0, 1, 3, 5:
	default:
		v.faults.add("bootstrap_voters", s.BootstrapVoters, "1, 3 or 5 node ids, or none on a VM that never bootstraps a control group")
	}
	for i, id := range s.BootstrapVoters {
		path := fmt.Sprintf("bootstrap_voters[%d]", i)
		if slices.Contains(s.BootstrapVoters[:i], id) {
			v.faults.add(path, id, "each node id once")
		} else if _, ok := v.nodeIDPaths[id]; !ok {
			v.faults.add(path, id, "the node_id of this VM or of a peer")
		}
	}
}
