package route

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
)

// Key is the hash of the context that a request may find kept: of its organisation, its
// weight version and the first block of its prompt.
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

// HashID is the hash of an upstream for [Weight].
func HashID(upstream ident.UpstreamID) uint64 { return xxhash.Sum64String(string(upstream)) }

// Weight is the rendezvous weight of an upstream for a request's kept context. Its
// finaliser is that of SplitMix64.
func Weight(key, upstream uint64) uint64 {
	z := key ^ upstream
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
