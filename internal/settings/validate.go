package settings

import (
	"fmt"
	"slices"
)

const (
	maxNameLength = 63 // In bytes; the common name of a certificate holds at most 64.

	minSessionTTLMillis = 500
	maxSessionTTLMillis = 60000
	minRenewMillis      = 10
	// renewalsPerTTL lets a lease survive two lost renewals.
	renewalsPerTTL = 3
	// Each connection takes a file descriptor, of which Linux allows one process 1<<20 by default (fs.nr_open).
	maxCallerConnections = 1 << 20
	maxShutdownMillis    = 24 * 60 * 60 * 1000
)

// Validate returns a Faults with every fault of s, or nil. It expects the result of WithDefaults.
func (s Settings) Validate() error {
	var v validator
	v.name("name", s.Name)
	v.name("zone", s.Zone)
	v.address("caller_address", s.CallerAddress, "tcp", s.Name)
	v.address("operator_address", s.OperatorAddress, "tcp", s.Name)
	v.address("peer_address", s.PeerAddress, "udp", s.Name)
	v.roles(s)
	v.peers(s)
	v.bootstrapVoters(s)
	v.required("tls.ca_file", s.TLS.CAFile)
	v.required("tls.cert_file", s.TLS.CertFile)
	v.required("tls.key_file", s.TLS.KeyFile)
	v.required("operator_token_file", s.OperatorTokenFile)
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		v.faults.add("log.level", s.Log.Level, "debug, info, warn or error")
	}
	v.inRange("session_ttl_ms", int64(s.SessionTTLMillis), minSessionTTLMillis, maxSessionTTLMillis)
	v.inRange("renew_interval_ms", int64(s.RenewIntervalMillis), minRenewMillis,
		max(minRenewMillis, int64(s.SessionTTLMillis)/renewalsPerTTL))
	v.inRange("limits.max_header_bytes", int64(s.Limits.MaxHeaderBytes), 1024, 16<<20)
	v.inRange("limits.max_caller_connections", int64(s.Limits.MaxCallerConnections), 1, maxCallerConnections)
	v.inRange("limits.shutdown_timeout_ms", int64(s.Limits.ShutdownTimeoutMillis), 1, maxShutdownMillis)
	return v.faults.asError()
}

// validator collects faults and records the names, addresses and node ids that are in use.
type validator struct {
	faults       Faults
	namePaths    map[string]string // The path of the first use of each name.
	addressPaths map[string]string // The path and VM of the first use of each network and address.
	nodeIDPaths  map[uint64]string // The path of the first use of each node id.
}

func (v *validator) required(path, value string) {
	if value == "" {
		v.faults.add(path, "", "a file name")
	}
}

func (v *validator) inRange(path string, value, low, high int64) {
	if value < low || value > high {
		v.faults.add(path, value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) name(path, value string) {
	valid := value != "" && len(value) <= maxNameLength
	for _, c := range value {
		valid = valid && (c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.')
	}
	if !valid {
		v.faults.add(path, value, fmt.Sprintf("1 to %d letters, digits, '-', '_' or '.'", maxNameLength))
	}
}
