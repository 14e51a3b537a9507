package limit

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
)

// owner returns the holder to which rendezvous hashing assigns a slot of an upstream; the zero Holder if
// there are no holders.
func owner(holders []Holder, id ident.UpstreamID, slot int) (best Holder) {
	var bestScore uint64
	for _, h := range holders {
		score := rendezvous(h, id, slot)
		if best == (Holder{}) || score > bestScore || score == bestScore && h.Entry < best.Entry {
			best, bestScore = h, score
		}
	}
	return best
}

// rendezvous returns the hash score of a holder for a slot. It ignores the incarnation, so that a new
// incarnation of an entry gets the slots of the previous one.
func rendezvous(h Holder, id ident.UpstreamID, slot int) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(h.Entry))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(slot))
	_, _ = d.Write(number[:])
	return d.Sum64()
}
