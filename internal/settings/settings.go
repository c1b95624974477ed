// Package settings defines the static settings of one process: its addresses, roles, peers, files and limits. They are
// read from a JSON file once at startup. Load accepts only complete and consistent files and reports all faults of a
// rejected file together, each with its JSON path.
package settings

// Settings are the static settings of one process. WithDefaults sets the defaults that the field comments state.
type Settings struct {
	// Name identifies the VM; it is the common name of its certificate. Required.
	Name string `json:"name"`
	// Zone is the availability zone of the VM. Required.
	Zone string `json:"zone"`
	// CallerAddress (TCP, IP:port) serves requests, address lookups and announcements. Required.
	CallerAddress string `json:"caller_address"`
	// OperatorAddress (TCP, IP:port) serves the operator API and metrics. Required.
	OperatorAddress string `json:"operator_address"`
	// PeerAddress (UDP, IP:port) serves the other VMs. Required.
	PeerAddress string `json:"peer_address"`
	// DataDir is the directory of the durable state. Required with RoleControl; empty on a VM without a disk.
	DataDir string `json:"data_dir,omitempty"`
	// Roles are the roles of the process. At least one is required.
	Roles []Role `json:"roles"`
	// NodeID is the id of the control replica. Required with RoleControl; zero on all other VMs.
	NodeID uint64 `json:"node_id,omitempty"`
	// Peers are the other VMs of the deployment.
	Peers []Peer `json:"peers,omitempty"`
	// BootstrapVoters are the 1, 3 or 5 node ids of the initial control group. Empty means that this VM never
	// bootstraps a control group and waits to be added to one.
	BootstrapVoters []uint64 `json:"bootstrap_voters,omitempty"`
	// TLS names the files for mutual TLS between VMs. Required.
	TLS TLS `json:"tls"`
	// OperatorTokenFile is the file with the bearer token of the operator API. Required.
	OperatorTokenFile string `json:"operator_token_file"`
	// Log configures the process log.
	Log Log `json:"log,omitzero"`
	// SessionTTLMillis is the TTL of a gateway's session lease, in ms. Default 3000; zero means the default.
	SessionTTLMillis int `json:"session_ttl_ms,omitempty"`
	// RenewIntervalMillis is the interval between two renewals of the lease, in ms. Default 400; zero means the default.
	RenewIntervalMillis int `json:"renew_interval_ms,omitempty"`
	// Limits limit the memory, the connections and the shutdown time of the process.
	Limits Limits `json:"limits,omitzero"`
}

// Role is a role of a process.
type Role string

// Roles.
const (
	RoleGateway Role = "gateway" // Data path, address lookups, announcements and operator API.
	RoleControl Role = "control" // Replica of the durable control state; needs a disk.
)

// Peer is another VM of the deployment.
type Peer struct {
	// Name identifies the VM; it is the common name of its certificate. Required.
	Name string `json:"name"`
	// Zone is the availability zone of the VM. Required.
	Zone string `json:"zone"`
	// NodeID is the id of the VM's control replica. Zero means that the VM has none.
	NodeID uint64 `json:"node_id,omitempty"`
	// PeerAddress (UDP, IP:port) is where the VM serves other VMs. Required.
	PeerAddress string `json:"peer_address"`
	// CallerAddress (TCP, IP:port) is where the VM serves callers. Required.
	CallerAddress string `json:"caller_address"`
}

// TLS names the PEM files for mutual TLS.
type TLS struct {
	// CAFile is the file with the certificate of the private CA. Required.
	CAFile string `json:"ca_file"`
	// CertFile is the file with the certificate of this VM. Required.
	CertFile string `json:"cert_file"`
	// KeyFile is the file with the private key of this VM. Required.
	KeyFile string `json:"key_file"`
}

// Log configures the process log.
type Log struct {
	// Level is debug, info, warn or error. Default info; empty means the default.
	Level string `json:"level,omitempty"`
}

// Limits limit the memory, the connections and the shutdown time of the process.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request header, in bytes. Default 64 KiB; zero means the default.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// MaxCallerConnections is the maximum number of open connections on CallerAddress. Default 10000; zero means the
	// default.
	MaxCallerConnections int `json:"max_caller_connections,omitempty"`
	// ShutdownTimeoutMillis bounds a graceful shutdown, in ms. Default 600000, which is longer than long downloads
	// take; zero means the default.
	ShutdownTimeoutMillis int `json:"shutdown_timeout_ms,omitempty"`
}

// HasRole reports whether the process has role r.
func (s Settings) HasRole(r Role) bool {
	for _, role := range s.Roles {
		if role == r {
			return true
		}
	}
	return false
}
