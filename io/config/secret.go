package config

import (
	"bytes"
	"os"

	"github.com/cockroachdb/errors"
)

// minSecretBytes is the recommended minimum key length of HMAC-SHA-256.
const minSecretBytes = 32

// LoadSecret reads a key from a file, without surrounding white space. Keys under 32 bytes are refused.
func LoadSecret(path string) (secret []byte, err error) {
	defer func() { err = errors.Wrapf(err, "secret %s", path) }()
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	secret = bytes.TrimSpace(raw)
	if len(secret) < minSecretBytes {
		return nil, errors.Mark(errors.Newf("expected at least %d bytes", minSecretBytes), ErrInvalid)
	}
	return secret, nil
}
