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

// KeyFiles holds the paths of a process's certificate, its private key and the trusted authorities, all in PEM.
type KeyFiles struct {
	Cert string
	Key  string
	CA   string
}

// ErrKeys marks errors of key files that cannot be read or parsed.
var ErrKeys = errors.New("key files can't be used")

// Keys holds the keys of a process and reloads them when their files change.
type Keys struct {
	files KeyFiles

	mu sync.Mutex
	// contents of Cert, Key and CA that cert and pool were parsed from.
	contents [3][]byte
	cert     tls.Certificate
	pool     *x509.CertPool
}

// NewKeys loads the files, so that a fault in them is reported at the start.
//
//	keys, err := peer.NewKeys(peer.KeyFiles{Cert: "entry.pem", Key: "entry.key", CA: "ca.pem"})
//	listener = tls.NewListener(listener, keys.ServerConfig())
func NewKeys(files KeyFiles) (k *Keys, err error) {
	defer func() { err = errors.Wrap(err, "keys") }()
	k = &Keys{files: files}
	return k, k.reload()
}

// reload parses files that have changed. The previous keys stay in use if the files cannot be used.
func (k *Keys) reload() (err error) {
	defer func() { err = errors.Mark(err, ErrKeys) }()
	var raw [3][]byte
	for i, path := range []string{k.files.Cert, k.files.Key, k.files.CA} {
		if raw[i], err = os.ReadFile(path); err != nil {
			return err
		}
	}
	if bytes.Equal(raw[0], k.contents[0]) && bytes.Equal(raw[1], k.contents[1]) && bytes.Equal(raw[2], k.contents[2]) {
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
	k.contents, k.cert, k.pool = raw, cert, pool
	return nil
}

// current reloads the files and returns the keys. Errors are ignored in favour of the previous keys, since a
// rotation that writes the files one after another leaves them inconsistent in between.
func (k *Keys) current() (cert tls.Certificate, pool *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.reload()
	return k.cert, k.pool
}

// protocols returns the ALPN protocols that servers offer, most preferred first.
func protocols() []string { return []string{"h2", "http/1.1"} }

// ServerConfig returns a configuration that requires of each client a certificate of a trusted authority.
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

// TLSTransport sends requests over TLS with the current certificate and trusted authorities.
type TLSTransport struct {
	keys *Keys
	dial DialFunc

	mu   sync.Mutex
	pool *x509.CertPool
	http *http.Transport
}

// DialFunc opens connections; nil means the default dialer.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTLSTransport returns a transport that authenticates itself with the keys.
func NewTLSTransport(keys *Keys, dial DialFunc) *TLSTransport {
	return &TLSTransport{keys: keys, dial: dial}
}

// RoundTrip implements [http.RoundTripper].
func (t *TLSTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.transport().RoundTrip(r)
}

// CloseIdleConnections makes [http.Client.CloseIdleConnections] work on the transport.
func (t *TLSTransport) CloseIdleConnections() { t.transport().CloseIdleConnections() }

// transport returns the current transport. It is replaced when the trusted authorities change, so that no connection
// long outlives the trust in its authority.
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
		HTTP2: TimeoutsFor(defaultRequestInterval).http2Config(), IdleConnTimeout: TimeoutsFor(defaultRequestInterval).IdleTimeout,
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
