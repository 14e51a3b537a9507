package main

import (
	"net/http"

	"github.com/spf13/cobra"

	"cicadavalve/io/peer"
)

// keyFlags are the flags by which an operator proves itself to entries and knows them.
type keyFlags struct {
	files peer.KeyFiles
}

func (k *keyFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&k.files.Cert, "tls-cert", "", "the operator's certificate, a PEM file; without it the protocol is plain text")
	cmd.Flags().StringVar(&k.files.Key, "tls-key", "", "the key of the certificate, a PEM file")
	cmd.Flags().StringVar(&k.files.CA, "tls-ca", "", "the authorities that entries are trusted by, a PEM file")
	cmd.MarkFlagsRequiredTogether("tls-cert", "tls-key", "tls-ca")
}

// client speaks TLS where the flags name keys, and plain text elsewhere.
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
