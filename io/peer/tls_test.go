package peer_test

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cicadavalve/io/keygen"
	"cicadavalve/io/peer"
)

func newAuthority(t *testing.T) keygen.Authority {
	t.Helper()
	a, err := keygen.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// writeKeys writes a new key, its certificate by a, and trusted as the trusted authority to a folder.
func writeKeys(t *testing.T, a keygen.Authority, dir, name string, trusted keygen.Authority) peer.KeyFiles {
	t.Helper()
	files, err := a.Write(dir, name, trusted)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func newKeys(t *testing.T, files peer.KeyFiles) *peer.Keys {
	t.Helper()
	keys, err := peer.NewKeys(files)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// serve starts a server that answers with the name on the client's certificate.
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

// handshake holds the names on the certificates that each end received; it is empty if the handshake failed.
type handshake struct{ Server, Client string }

func connect(t *testing.T, keys *peer.Keys, url string) handshake {
	t.Helper()
	transport := peer.NewTLSTransport(keys, nil)
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get(url)
	if err != nil {
		return handshake{}
	}
	_ = resp.Body.Close()
	return handshake{resp.TLS.PeerCertificates[0].Subject.CommonName, resp.Header.Get("X-Client")}
}

func TestOnlyTrustedKeysConnect(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	url := serve(t, newKeys(t, writeKeys(t, ours, t.TempDir(), "entry", ours)))
	got := []handshake{
		connect(t, newKeys(t, writeKeys(t, ours, t.TempDir(), "operator", ours)), url),
		connect(t, newKeys(t, writeKeys(t, theirs, t.TempDir(), "stranger", ours)), url),
		connect(t, newKeys(t, writeKeys(t, ours, t.TempDir(), "misled", theirs)), url),
	}
	want := []handshake{{"entry", "operator"}, {}, {}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("handshakes (-want +got):\n%s", diff)
	}
	insecure := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	if resp, err := insecure.Get(url); err == nil {
		_ = resp.Body.Close()
		t.Error("a client without a certificate was served")
	}
}

// TestRotatedKeysAreReloaded rotates the keys of both ends without a restart. Ends with different authorities must
// not connect, and a damaged key file must leave the previous keys in use.
func TestRotatedKeysAreReloaded(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	serverDir, clientDir := t.TempDir(), t.TempDir()
	url := serve(t, newKeys(t, writeKeys(t, first, serverDir, "entry 1", first)))
	client := newKeys(t, writeKeys(t, first, clientDir, "operator 1", first))
	got := []handshake{connect(t, client, url)}
	writeKeys(t, second, serverDir, "entry 2", second)
	got = append(got, connect(t, client, url))
	files := writeKeys(t, second, clientDir, "operator 2", second)
	got = append(got, connect(t, client, url))
	if err := os.WriteFile(files.Key, []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	got = append(got, connect(t, client, url))
	want := []handshake{{"entry 1", "operator 1"}, {}, {"entry 2", "operator 2"}, {"entry 2", "operator 2"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("handshakes over a rotation (-want +got):\n%s", diff)
	}
}
