package limit

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cicadavalve/core/ident"
)

// owner is the holder that a slot of an upstream falls to by rendezvous hash; it is the
// zero Holder where there is none.
func owner(holders []Holder, id ident.UpstreamID, slot int) (best Holder) {
	var most uint64
	for _, h := range holders {
		score := rendezvous(h, id, slot)
		if best == (Holder{}) || score > most || score == most && h.Entry < best.Entry {
			best, most = h, score
		}
	}
	return best
}

// rendezvous scores by the entry's name alone, so that a new incarnation gets the slots of the last one.
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
