package peer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/peer"
)

// authority signs certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	a := authority{key: newKey(t)}
	a.cert = template("authority")
	a.cert.IsCA, a.cert.KeyUsage, a.cert.BasicConstraintsValid = true, x509.KeyUsageCertSign, true
	raw, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// write puts a new certificate of the authority, and the trust in another one, into a folder.
func (a authority) write(t *testing.T, dir, name string, trusted authority) peer.KeyFiles {
	t.Helper()
	key := newKey(t)
	raw, err := x509.CreateCertificate(rand.Reader, template(name), a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := peer.KeyFiles{
		Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}
	put(t, files.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}))
	put(t, files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}))
	put(t, files.CA, trusted.pem)
	return files
}

func put(t *testing.T, path string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

func newKeys(t *testing.T, files peer.KeyFiles) *peer.Keys {
	t.Helper()
	keys, err := peer.NewKeys(files)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// serve answers with the name on the client's certificate.
func serve(t *testing.T, keys *peer.Keys) (url string) {
	t.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Client", r.TLS.PeerCertificates[0].Subject.CommonName)
	}))
	s.TLS = keys.ServerConfig()
	s.StartTLS()
	t.Cleanup(s.Close)
	return s.URL
}

// meeting is what both ends saw of each other; a refused one is empty.
type meeting struct{ Server, Client string }

func meet(t *testing.T, keys *peer.Keys, url string) meeting {
	t.Helper()
	transport := peer.NewTLSTransport(keys, nil)
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get(url)
	if err != nil {
		return meeting{}
	}
	_ = resp.Body.Close()
	return meeting{resp.TLS.PeerCertificates[0].Subject.CommonName, resp.Header.Get("X-Client")}
}

func TestOnlyTrustedKeysMeet(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	url := serve(t, newKeys(t, ours.write(t, t.TempDir(), "entry", ours)))
	got := []meeting{
		meet(t, newKeys(t, ours.write(t, t.TempDir(), "operator", ours)), url),
		meet(t, newKeys(t, theirs.write(t, t.TempDir(), "stranger", ours)), url),
		meet(t, newKeys(t, ours.write(t, t.TempDir(), "misled", theirs)), url),
	}
	want := []meeting{{"entry", "operator"}, {}, {}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("meetings (-want +got):\n%s", diff)
	}
	insecure := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	if resp, err := insecure.Get(url); err == nil {
		_ = resp.Body.Close()
		t.Error("a client without a certificate was served")
	}
}

func TestRotatedKeysAreTakenUpWithoutRestart(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	url := serve(t, newKeys(t, first.write(t, serverDir, "entry 1", first)))
	client := newKeys(t, first.write(t, clientDir, "operator 1", first))
	got := []meeting{meet(t, client, url)}
	second.write(t, serverDir, "entry 2", second)
	got = append(got, meet(t, client, url))
	files := second.write(t, clientDir, "operator 2", second)
	got = append(got, meet(t, client, url))
	put(t, files.Key, []byte("damaged"))
	got = append(got, meet(t, client, url))
	want := []meeting{{"entry 1", "operator 1"}, {}, {"entry 2", "operator 2"}, {"entry 2", "operator 2"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("meetings over a rotation (-want +got):\n%s", diff)
	}
}
