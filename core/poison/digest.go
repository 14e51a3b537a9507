package poison

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strconv"

	"cicadavalve/core/ident"
)

// digestPurpose separates digests from other hashes under the same secret.
const digestPurpose = "request digest\x00"

// Digester computes the digests of requests under a secret. Entries with the same secret compute the same digests.
type Digester struct{ secret []byte }

// NewDigester returns a digester.
//
//	digest := poison.NewDigester(secret).Digest(org, "POST", path, body)
func NewDigester(secret []byte) *Digester { return &Digester{secret: secret} }

// Digest identifies an organisation's request without revealing its content.
func (d *Digester) Digest(org ident.OrgID, parts ...string) Digest {
	h := hmac.New(sha256.New, d.secret)
	write := func(s string) { _, _ = io.WriteString(h, s) }
	write(digestPurpose)
	for _, part := range append([]string{string(org)}, parts...) {
		write(strconv.Itoa(len(part)) + ":")
		write(part)
	}
	return Digest(hex.EncodeToString(h.Sum(nil)))
}
