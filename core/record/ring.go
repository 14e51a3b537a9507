package record

// Ring keeps the latest items up to a bound on the sum of their sizes.
type Ring[T any] struct {
	size func(T) int
	// most bounds used, but for a single item that is larger alone.
	most int
	used int
	// items is oldest first; start is the index of the oldest one kept.
	items []T
	start int
}

// NewRing is an empty ring that keeps at most a sum of sizes.
//
//	r := record.NewRing(1<<20, func(s string) int { return len(s) })
func NewRing[T any](most int, size func(T) int) *Ring[T] {
	return &Ring[T]{size: size, most: most}
}

// Push adds the newest item and returns how many of the oldest had to go.
func (r *Ring[T]) Push(item T) (dropped int) {
	r.items = append(r.items, item)
	r.used += r.size(item)
	for r.used > r.most && r.Len() > 1 {
		r.drop()
		dropped++
	}
	r.compact()
	return dropped
}

func (r *Ring[T]) drop() {
	var zero T
	r.used -= r.size(r.items[r.start])
	r.items[r.start] = zero
	r.start++
}

// compact moves the kept items to the front once half of the slice is unused.
func (r *Ring[T]) compact() {
	if r.start > len(r.items)/2 {
		r.items = append([]T(nil), r.items[r.start:]...)
		r.start = 0
	}
}

// Len counts the kept items.
func (r *Ring[T]) Len() int { return len(r.items) - r.start }

// Used is the sum of the sizes of the kept items.
func (r *Ring[T]) Used() int { return r.used }

// Items are the kept items, oldest first; the slice is the ring's own.
func (r *Ring[T]) Items() []T { return r.items[r.start:] }
