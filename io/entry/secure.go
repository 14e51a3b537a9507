package entry

import (
	"net/http"

	"cicadavalve/io/peer"
)

// WithKeys enables mutual TLS for the peer protocol, which is plain text by default.
func WithKeys(keys *peer.Keys) Option {
	return func(d *Daemon) { d.keys = keys }
}

// peerClient returns an HTTP client for the peer ports of other entries.
func (d *Daemon) peerClient() *http.Client {
	if d.keys == nil {
		return &http.Client{Transport: d.peerHTTP}
	}
	return &http.Client{Transport: peer.NewTLSTransport(d.keys, d.peerHTTP.DialContext)}
}

func (d *Daemon) secure(s *server) {
	if d.keys != nil {
		s.http.TLSConfig = d.keys.ServerConfig()
	}
}
