// Package keygen makes short-lived keys and certificates for tests on loopback.
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

// life is how long before and after its making a certificate is valid.
const life = time.Hour

// Authority signs certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority is an authority with a key of its own.
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
		NotBefore: now.Add(-life), NotAfter: now.Add(life),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// Write puts a new key with its certificate, and the trust in an authority, into a folder.
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
