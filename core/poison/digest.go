package poison

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strconv"

	"cicadavalve/core/ident"
)

const (
	// digestPurpose and partPurpose separate the digests of requests and of parts from other hashes under the same secret.
	digestPurpose = "request digest\x00"
	partPurpose   = "part digest\x00"
	// partSize is the size of a part's digest, in bytes. It is less than that of a request's, which tells them apart.
	partSize = 16
)

// Keys identifies what of a request may crash upstreams.
type Keys struct {
	// Request is the digest of the whole request, empty if it is not known.
	Request Digest
	// Parts holds the digests of the parts of its prompt that other requests may have as well.
	Parts []Digest
}

// IsPart reports whether the digest is that of a part of prompts rather than of a whole request.
func (d Digest) IsPart() bool { return len(d) == hex.EncodedLen(partSize) }

// Digester computes the digests of requests under a secret. Entries with the same secret compute the same digests.
type Digester struct{ secret []byte }

// NewDigester returns a digester.
//
//	digest := poison.NewDigester(secret).Digest(org, "POST", path, body)
func NewDigester(secret []byte) *Digester { return &Digester{secret: secret} }

// Digest identifies an organisation's request without revealing its content.
func (d *Digester) Digest(org ident.OrgID, parts ...string) Digest {
	return Digest(hex.EncodeToString(d.sum(digestPurpose, append([]string{string(org)}, parts...))))
}

// Part identifies a part of prompts within a scope, in which callers share parts, without revealing its id.
func (d *Digester) Part(scope, id string) Digest {
	return Digest(hex.EncodeToString(d.sum(partPurpose, []string{scope, id})[:partSize]))
}

func (d *Digester) sum(purpose string, values []string) []byte {
	h := hmac.New(sha256.New, d.secret)
	write := func(s string) { _, _ = io.WriteString(h, s) }
	write(purpose)
	for _, value := range values {
		write(strconv.Itoa(len(value)) + ":")
		write(value)
	}
	return h.Sum(nil)
}
