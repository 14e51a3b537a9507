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

// write puts a new certificate of an authority, and the trust in another one, into a folder.
func write(t *testing.T, a keygen.Authority, dir, name string, trusted keygen.Authority) peer.KeyFiles {
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
	url := serve(t, newKeys(t, write(t, ours, t.TempDir(), "entry", ours)))
	got := []meeting{
		meet(t, newKeys(t, write(t, ours, t.TempDir(), "operator", ours)), url),
		meet(t, newKeys(t, write(t, theirs, t.TempDir(), "stranger", ours)), url),
		meet(t, newKeys(t, write(t, ours, t.TempDir(), "misled", theirs)), url),
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
	url := serve(t, newKeys(t, write(t, first, serverDir, "entry 1", first)))
	client := newKeys(t, write(t, first, clientDir, "operator 1", first))
	got := []meeting{meet(t, client, url)}
	write(t, second, serverDir, "entry 2", second)
	got = append(got, meet(t, client, url))
	files := write(t, second, clientDir, "operator 2", second)
	got = append(got, meet(t, client, url))
	if err := os.WriteFile(files.Key, []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	got = append(got, meet(t, client, url))
	want := []meeting{{"entry 1", "operator 1"}, {}, {"entry 2", "operator 2"}, {"entry 2", "operator 2"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("meetings over a rotation (-want +got):\n%s", diff)
	}
}
