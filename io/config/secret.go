package config

import (
	"bytes"
	"os"

	"github.com/cockroachdb/errors"
)

// leastSecretBytes is the shortest key that HMAC-SHA-256 is meant for.
const leastSecretBytes = 32

// LoadSecret reads a key from a file; white space around it does not count.
func LoadSecret(path string) (secret []byte, err error) {
	defer func() { err = errors.Wrapf(err, "secret %s", path) }()
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	secret = bytes.TrimSpace(raw)
	if len(secret) < leastSecretBytes {
		return nil, errors.Mark(errors.Newf("expected at least %d bytes", leastSecretBytes), ErrInvalid)
	}
	return secret, nil
}
