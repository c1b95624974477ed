package keys

import (
	"crypto/tls"
	"crypto/x509"
	"time"

	"github.com/pkg/errors"
)

// Load reads the files of one VM and returns its configuration for mutual TLS, for use as client and server. A client
// must set ServerName to the peer's IP address or use ForPeer. Load returns an error if the certificate is expired, not
// yet valid, or of another CA. A nil now means time.Now; the handshakes use it too.
func Load(caFile, certFile, keyFile string, now func() time.Time) (*tls.Config, error) {
	if now == nil {
		now = time.Now
	}
	ca, err := loadCert(caFile)
	if err != nil {
		return nil, err
	}
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "load %s and %s", certFile, keyFile)
	}
	roots := x509.NewCertPool()
	roots.AddCert(ca)
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth} {
		options := x509.VerifyOptions{Roots: roots, CurrentTime: now(), KeyUsages: []x509.ExtKeyUsage{usage}}
		if _, err := pair.Leaf.Verify(options); err != nil {
			return nil, errors.Wrapf(err, "verify %s", certFile)
		}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		Time:         now,
		// A resumed session would skip the verification of the peer's certificate and could outlive it.
		SessionTicketsDisabled: true,
	}, nil
}

// ForPeer returns a copy of config for connecting to the VM with the given name and IP address. The handshake fails if
// the peer's certificate has another name or lacks the address.
func ForPeer(config *tls.Config, name, ip string) *tls.Config {
	c := config.Clone()
	c.ServerName = ip
	c.VerifyConnection = func(state tls.ConnectionState) error {
		if got, err := PeerName(state); err != nil || got != name {
			return errors.Errorf("the certificate of the VM at %s has the name %q, want %q", ip, got, name)
		}
		return nil
	}
	return c
}

// PeerName returns the VM name in the verified certificate of the peer.
func PeerName(state tls.ConnectionState) (string, error) {
	if len(state.VerifiedChains) == 0 || len(state.PeerCertificates) == 0 {
		return "", errors.New("the peer has no verified certificate")
	}
	name := state.PeerCertificates[0].Subject.CommonName
	if name == "" {
		return "", errors.New("the peer's certificate has no common name")
	}
	return name, nil
}
