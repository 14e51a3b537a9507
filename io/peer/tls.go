package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// KeyFiles locates the key of a process and the authorities that it trusts, all in PEM.
type KeyFiles struct {
	Cert string
	Key  string
	CA   string
}

// ErrKeys marks key files that can't be used.
var ErrKeys = errors.New("key files can't be used")

// Keys are the keys of a process, read again when their files change.
type Keys struct {
	files KeyFiles

	mu sync.Mutex
	// raw is the files' text that cert and pool were made from.
	raw  [3][]byte
	cert tls.Certificate
	pool *x509.CertPool
}

// NewKeys reads the files once, so that a fault in them shows at the start.
//
//	keys, err := peer.NewKeys(peer.KeyFiles{Cert: "entry.pem", Key: "entry.key", CA: "ca.pem"})
//	listener = tls.NewListener(listener, keys.ServerConfig())
func NewKeys(files KeyFiles) (k *Keys, err error) {
	defer func() { err = errors.Wrap(err, "keys") }()
	k = &Keys{files: files}
	return k, k.reload()
}

// reload takes up files that have changed; where they can't be used, the last good keys stay.
func (k *Keys) reload() (err error) {
	defer func() { err = errors.Mark(err, ErrKeys) }()
	var raw [3][]byte
	for i, path := range []string{k.files.Cert, k.files.Key, k.files.CA} {
		if raw[i], err = os.ReadFile(path); err != nil {
			return err
		}
	}
	if bytes.Equal(raw[0], k.raw[0]) && bytes.Equal(raw[1], k.raw[1]) && bytes.Equal(raw[2], k.raw[2]) {
		return nil
	}
	cert, err := tls.X509KeyPair(raw[0], raw[1])
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw[2]) {
		return errors.Newf("%s: expected certificates in PEM", k.files.CA)
	}
	k.raw, k.cert, k.pool = raw, cert, pool
	return nil
}

// current reads the files again. A rotation writes them one after another, so that a
// fault in between keeps the last good keys.
func (k *Keys) current() (cert tls.Certificate, pool *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.reload()
	return k.cert, k.pool
}

// protocols are offered in both directions, the preferred first.
func protocols() []string { return []string{"h2", "http/1.1"} }

// ServerConfig asks each client for a certificate of a trusted authority.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := k.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool, NextProtos: protocols(),
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// TLSTransport sends requests over TLS with the keys' present certificate and authorities.
type TLSTransport struct {
	keys *Keys
	dial DialFunc

	mu   sync.Mutex
	pool *x509.CertPool
	http *http.Transport
}

// DialFunc opens connections; nil means the default.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTLSTransport is a transport that proves itself with the keys.
func NewTLSTransport(keys *Keys, dial DialFunc) *TLSTransport {
	return &TLSTransport{keys: keys, dial: dial}
}

// RoundTrip implements [http.RoundTripper].
func (t *TLSTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.transport().RoundTrip(r)
}

// CloseIdleConnections lets [http.Client.CloseIdleConnections] reach the transport.
func (t *TLSTransport) CloseIdleConnections() { t.transport().CloseIdleConnections() }

// transport is made anew when the trusted authorities have changed, so that no connection
// outlives the trust in its authority for long.
func (t *TLSTransport) transport() *http.Transport {
	_, pool := t.keys.current()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.http != nil && t.pool == pool {
		return t.http
	}
	if t.http != nil {
		t.http.CloseIdleConnections()
	}
	t.pool = pool
	t.http = &http.Transport{
		ForceAttemptHTTP2: true, DialContext: t.dial,
		HTTP2: HealthOf(defaultInterval).config(), IdleConnTimeout: HealthOf(defaultInterval).Unused,
		TLSClientConfig: &tls.Config{
			MinVersion: tls.VersionTLS13, RootCAs: pool,
			GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
				cert, _ := t.keys.current()
				return &cert, nil
			},
		},
	}
	return t.http
}
