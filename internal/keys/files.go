package keys

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

const (
	fileMode = 0o600 // readable by the owner only

	certBlockType = "CERTIFICATE"
	keyBlockType  = "PRIVATE KEY"
)

// Save writes the CA's certificate and key as PEM files with mode 0600. It fails if the key file exists, because the
// VMs' certificates could not be renewed without the existing key.
func (a *Authority) Save(certFile, keyFile string) error {
	if _, err := os.Lstat(keyFile); !os.IsNotExist(err) {
		return errors.Errorf("CA key file %s already exists", keyFile)
	}
	return save(a.cert, a.key, certFile, keyFile)
}

// Save writes the certificate and key as PEM files with mode 0600, replacing existing files.
func (p Pair) Save(certFile, keyFile string) error {
	return save(p.Cert, p.Key, certFile, keyFile)
}

// LoadAuthority reads a CA that Authority.Save wrote, for issuing further certificates.
func LoadAuthority(certFile, keyFile string) (*Authority, error) {
	cert, err := loadCert(certFile)
	if err != nil {
		return nil, err
	}
	if !cert.IsCA {
		return nil, errors.Errorf("%s is not the certificate of a CA", certFile)
	}
	der, err := readBlock(keyFile, keyBlockType)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, errors.Wrapf(err, "parse %s", keyFile)
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok || !key.PublicKey.Equal(cert.PublicKey) {
		return nil, errors.Errorf("the key in %s does not belong to the certificate in %s", keyFile, certFile)
	}
	return &Authority{cert: cert, key: key}, nil
}

// save writes the key first. After a failure between the two writes, a key without a certificate reveals nothing new,
// whereas a certificate without its key would be useless. If files are being replaced, such a failure leaves the new key
// with the old certificate, which the load functions reject.
func save(cert *x509.Certificate, key crypto.Signer, certFile, keyFile string) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	if err := writeBlock(keyFile, keyBlockType, der); err != nil {
		return err
	}
	return writeBlock(certFile, certBlockType, cert.Raw)
}

// writeBlock replaces the file atomically, so that a process that starts in the meantime reads either the old or the
// new content.
func writeBlock(file, kind string, der []byte) error {
	temp, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".new-*") // created with mode 0600
	if err != nil {
		return errors.Wrapf(err, "write %s", file)
	}
	defer os.Remove(temp.Name())
	err = pem.Encode(temp, &pem.Block{Type: kind, Bytes: der})
	if err == nil {
		err = temp.Chmod(fileMode)
	}
	if err == nil {
		err = temp.Sync()
	}
	if closeErr := temp.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temp.Name(), file)
	}
	return errors.Wrapf(err, "write %s", file)
}

// readBlock reads a file that holds exactly one PEM block.
func readBlock(file, kind string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read key material")
	}
	block, rest := pem.Decode(data)
	if block == nil || block.Type != kind || len(bytes.TrimSpace(rest)) > 0 {
		return nil, errors.Errorf("%s does not hold exactly one PEM block of type %s", file, kind)
	}
	return block.Bytes, nil
}

func loadCert(file string) (*x509.Certificate, error) {
	der, err := readBlock(file, certBlockType)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return cert, errors.Wrapf(err, "parse %s", file)
}
