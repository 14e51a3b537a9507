package entry

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"hash"

	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
)

// mac returns an HMAC for one purpose. Entries with the same cache secret produce the same hashes.
func (d *Daemon) mac(purpose string) hash.Hash {
	h := hmac.New(sha256.New, d.cacheSecret)
	_, _ = h.Write([]byte(purpose + "\x00"))
	return h
}

// cacheSalt returns the salt that separates organisations' prefix caches. It can't be derived without the secret.
func (d *Daemon) cacheSalt(org ident.OrgID) string {
	h := d.mac("cache salt")
	_, _ = h.Write([]byte(org))
	return hex.EncodeToString(h.Sum(nil))
}

// digest identifies an organisation's request without revealing its content.
func (d *Daemon) digest(org ident.OrgID, parts ...string) poison.Digest {
	return poison.NewDigester(d.cacheSecret).Digest(org, parts...)
}
