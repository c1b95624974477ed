package placement

import "slices"

const (
	// MaxClientAddresses bounds the number of addresses in a response to a client.
	MaxClientAddresses = 64
	// minClientAddresses is the number of addresses below which less preferred gateways are added to a response. With a
	// single address, a client whose gateway fails has no alternative until its next lookup.
	minClientAddresses = 2
)

// Gateway is a gateway to which clients can connect.
type Gateway struct {
	// Address has the form IP:port.
	Address string
	Zone    string
	// Replica reports whether the process also runs a control replica.
	Replica bool
}

// ClientAddresses returns the gateway addresses for a client in a zone. Gateways in the client's zone without a control
// replica come first, so that requests stay in the zone and the failure of a replica's VM affects no requests. If there
// are too few of them, gateways with a replica in the zone are added, and then gateways of other zones.
func ClientAddresses(gateways []Gateway, zone string) []string {
	var chosen []string
	for _, matches := range []func(Gateway) bool{
		func(g Gateway) bool { return g.Zone == zone && !g.Replica },
		func(g Gateway) bool { return g.Zone == zone && g.Replica },
		func(g Gateway) bool { return g.Zone != zone && !g.Replica },
		func(g Gateway) bool { return g.Zone != zone && g.Replica },
	} {
		if len(chosen) >= minClientAddresses {
			break
		}
		for _, g := range gateways {
			if matches(g) && !slices.Contains(chosen, g.Address) {
				chosen = append(chosen, g.Address)
			}
		}
	}
	return chosen[:min(len(chosen), MaxClientAddresses)]
}
