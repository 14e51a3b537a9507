package record

// Ring keeps the latest items within a limit on the sum of their sizes.
type Ring[T any] struct {
	size func(T) int
	// maxSize limits used, except that a single larger item is kept.
	maxSize int
	used    int
	// items is sorted oldest first; start is the index of the oldest kept item.
	items []T
	start int
}

// NewRing returns an empty ring with a limit on the sum of sizes.
//
//	r := record.NewRing(1<<20, func(s string) int { return len(s) })
func NewRing[T any](maxSize int, size func(T) int) *Ring[T] {
	return &Ring[T]{size: size, maxSize: maxSize}
}

// Push adds an item and returns the number of oldest items dropped for it.
func (r *Ring[T]) Push(item T) (dropped int) {
	r.items = append(r.items, item)
	r.used += r.size(item)
	for r.used > r.maxSize && r.Len() > 1 {
		r.dropOldest()
		dropped++
	}
	r.compact()
	return dropped
}

func (r *Ring[T]) dropOldest() {
	var zero T
	r.used -= r.size(r.items[r.start])
	r.items[r.start] = zero
	r.start++
}

// compact copies the kept items to a new slice once more than half of the old one is unused.
func (r *Ring[T]) compact() {
	if r.start > len(r.items)/2 {
		r.items = append([]T(nil), r.items[r.start:]...)
		r.start = 0
	}
}

// Len returns the number of kept items.
func (r *Ring[T]) Len() int { return len(r.items) - r.start }

// Used returns the sum of the sizes of the kept items.
func (r *Ring[T]) Used() int { return r.used }

// Items returns the kept items, oldest first; the slice is shared with the ring.
func (r *Ring[T]) Items() []T { return r.items[r.start:] }
