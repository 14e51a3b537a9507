package entry

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strconv"

	"cicadavalve/core/ident"
	"cicadavalve/core/poison"
)

// mac is a keyed hash for one purpose; the same on every entry.
func (d *Daemon) mac(purpose string) hash.Hash {
	h := hmac.New(sha256.New, d.cacheSecret)
	_, _ = h.Write([]byte(purpose + "\x00"))
	return h
}

// cacheSalt keeps organisations' prefix caches apart; none but the holder of the secret can work it out.
func (d *Daemon) cacheSalt(org ident.OrgID) string {
	h := d.mac("cache salt")
	_, _ = h.Write([]byte(org))
	return hex.EncodeToString(h.Sum(nil))
}

// digest names an organisation's request without telling anything of it.
func (d *Daemon) digest(org ident.OrgID, parts ...string) poison.Digest {
	h := d.mac("request digest")
	for _, part := range append([]string{string(org)}, parts...) {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return poison.Digest(hex.EncodeToString(h.Sum(nil)))
}
