package main

import (
	"net/http"

	"github.com/spf13/cobra"

	"cicadavalve/io/peer"
)

// keyFlags are the flags for mutual TLS between an operator and the entries.
type keyFlags struct {
	files peer.KeyFiles
}

func (k *keyFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&k.files.Cert, "tls-cert", "", "the operator's certificate, a PEM file; without it, plain text is used")
	cmd.Flags().StringVar(&k.files.Key, "tls-key", "", "the private key of the certificate, a PEM file")
	cmd.Flags().StringVar(&k.files.CA, "tls-ca", "", "the certificate authorities that sign the entries' certificates, a PEM file")
	cmd.MarkFlagsRequiredTogether("tls-cert", "tls-key", "tls-ca")
}

// client returns a client that uses TLS if the flags name a certificate, and plain text otherwise.
func (k *keyFlags) client() (client *http.Client, err error) {
	if k.files.Cert == "" {
		return &http.Client{}, nil
	}
	keys, err := peer.NewKeys(k.files)
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: peer.NewTLSTransport(keys, nil)}, nil
}
