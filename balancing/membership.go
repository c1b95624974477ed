package balancing

// Membership tells which upstreams this gateway is responsible for among all gateways.
type Membership interface {
	// OwnsCold reports whether this gateway is the one that may send to an upstream while it is cold. It is called only for
	// cold upstreams.
	OwnsCold(id, zone string) bool
	// IsSender reports whether this gateway is one of the given number of gateways that may send to an upstream while it
	// names a request limit. It is called only for upstreams that do.
	IsSender(id string, senders int) bool
}
