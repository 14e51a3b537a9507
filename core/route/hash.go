package route

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
)

// Key returns the hash that identifies a request's cached context: its organisation, weight version
// and first prompt block.
func Key(org ident.OrgID, version ident.Version, promptRoot uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{string(org), string(version)} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	var root [20]byte
	_, _ = d.Write(strconv.AppendUint(root[:0], promptRoot, 36))
	return d.Sum64()
}

// HashID returns the hash of an upstream for [Weight].
func HashID(upstream ident.UpstreamID) uint64 { return xxhash.Sum64String(string(upstream)) }

// Weight returns the rendezvous weight of an upstream for a key, mixed by the finaliser of
// SplitMix64.
func Weight(key, upstream uint64) uint64 {
	z := key ^ upstream
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
