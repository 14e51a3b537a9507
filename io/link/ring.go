package link

import (
	"hash/maphash"
	"slices"
)

// maxCarried is the number of requests that a connection remembers.
const maxCarried = 128

// idRing holds the ids of the last requests of a connection. The zero value is empty. An answer to one of them that is written once more
// could not be distinguished from the answer to a later request with the same id.
type idRing struct {
	hashes []uint64
	// next is the position that is overwritten next once the ring is full.
	next int
}

var idSeed = maphash.MakeSeed()

// add adds an id unless it is empty, in place of the oldest one if the ring is full.
func (r *idRing) add(id string) {
	switch {
	case id == "":
	case len(r.hashes) < maxCarried:
		r.hashes = append(r.hashes, maphash.String(idSeed, id))
	default:
		r.hashes[r.next] = maphash.String(idSeed, id)
		r.next = (r.next + 1) % maxCarried
	}
}

// contains reports whether the ring holds an id. A collision of hashes costs a new connection.
func (r *idRing) contains(id string) bool {
	return id != "" && slices.Contains(r.hashes, maphash.String(idSeed, id))
}
