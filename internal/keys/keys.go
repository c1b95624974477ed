// Package keys creates the private CA and the certificate of each VM, and loads them for mutual TLS. A configuration
// that Load returns accepts only TLS 1.3 and only peers with a certificate of the same CA that is valid at the time of
// the handshake.
package keys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

const (
	// CAValidity is the default validity of a CA certificate.
	CAValidity = 10 * 365 * 24 * time.Hour
	// CertValidity is the default validity of a VM's certificate.
	CertValidity = 398 * 24 * time.Hour
	// clockSkewAllowance is how far certificates are backdated, so that a VM whose clock is behind accepts a new one.
	clockSkewAllowance = 5 * time.Minute
	// serialBits is the length of the random serial numbers. It makes them unique without a record of the issued ones
	// (RFC 5280 allows 159 bits).
	serialBits = 128
)

// Authority is a private CA.
type Authority struct {
	cert *x509.Certificate
	key  crypto.Signer
}

// Pair is a certificate with its private key.
type Pair struct {
	Cert *x509.Certificate
	Key  *ecdsa.PrivateKey
}

// NewAuthority creates a CA that is valid from now for the given validity; zero means CAValidity.
func NewAuthority(now time.Time, validity time.Duration) (*Authority, error) {
	if validity == 0 {
		validity = CAValidity
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: "bramleypick private CA"},
		NotBefore:    now.Add(-clockSkewAllowance), NotAfter: now.Add(validity),
		KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true, IsCA: true, MaxPathLenZero: true,
	}
	cert, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key}, nil
}

// Issue creates a certificate for the VM with the given name and addresses, for use as client and server. It is valid
// from now for the given validity, where zero means CertValidity, but not longer than the CA.
func (a *Authority) Issue(name string, addresses []netip.Addr, now time.Time, validity time.Duration) (Pair, error) {
	if name == "" || len(addresses) == 0 {
		return Pair{}, errors.Errorf("a certificate needs a VM name and at least one IP address: got name %q and %d addresses", name, len(addresses))
	}
	if now.After(a.cert.NotAfter) {
		return Pair{}, errors.Errorf("the CA certificate expired at %s", a.cert.NotAfter.Format(time.RFC3339))
	}
	if validity == 0 {
		validity = CertValidity
	}
	serial, err := newSerial()
	if err != nil {
		return Pair{}, err
	}
	key, err := newKey()
	if err != nil {
		return Pair{}, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewAllowance), NotAfter: earlier(now.Add(validity), a.cert.NotAfter),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.Unmap().AsSlice()))
	}
	cert, err := sign(template, a.cert, key, a.key)
	return Pair{Cert: cert, Key: key}, err
}

func sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey, signer crypto.Signer) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate")
	}
	cert, err := x509.ParseCertificate(der)
	return cert, errors.Wrap(err, "parse certificate")
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, errors.Wrap(err, "generate key")
}

func newSerial() (*big.Int, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	return serial, errors.Wrap(err, "generate serial number")
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
