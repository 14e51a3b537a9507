// Package keygen creates short-lived keys and certificates for tests on loopback.
package keygen

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"cicadavalve/io/peer"
)

// validity is how long a certificate is valid before and after its creation.
const validity = time.Hour

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
//
//	a, err := keygen.NewAuthority()
//	files, err := a.Write(dir, "entry-0", a)
func NewAuthority() (a Authority, err error) {
	defer func() { err = errors.Wrap(err, "new authority") }()
	if a.key, err = newKey(); err != nil {
		return a, err
	}
	a.cert = template("authority")
	a.cert.IsCA, a.cert.KeyUsage, a.cert.BasicConstraintsValid = true, x509.KeyUsageCertSign, true
	raw, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
	return a, err
}

func newKey() (*ecdsa.PrivateKey, error) { return ecdsa.GenerateKey(elliptic.P256(), rand.Reader) }

func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-validity), NotAfter: now.Add(validity),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// Write writes a new key, its certificate for a name, and the certificate of the trusted authority to a folder. The
// file names are fixed, so that a second call replaces the files.
func (a Authority) Write(dir, name string, trusted Authority) (files peer.KeyFiles, err error) {
	defer func() { err = errors.Wrapf(err, "keys of %s", name) }()
	key, err := newKey()
	if err != nil {
		return files, err
	}
	raw, err := x509.CreateCertificate(rand.Reader, template(name), a.cert, &key.PublicKey, a.key)
	if err != nil {
		return files, err
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return files, err
	}
	files = peer.KeyFiles{
		Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}
	return files, errors.Join(
		os.WriteFile(files.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), 0o600),
		os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}), 0o600),
		os.WriteFile(files.CA, trusted.pem, 0o600),
	)
}
