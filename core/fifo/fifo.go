// Package fifo holds bounded maps that drop their oldest entries.
package fifo

import "container/list"

// Map is a map of bounded size. It remembers the order in which its keys were added. It is not safe for concurrent use.
//
//	m := fifo.NewMap[string, int](2)
//	m.Set("a", 1)
type Map[K comparable, V any] struct {
	// capacity is at least 1.
	capacity int
	elements map[K]*list.Element
	// order holds an entry for each key, the oldest first.
	order *list.List
}

// entry is a key with its value.
type entry[K comparable, V any] struct {
	key   K
	value V
}

// NewMap returns an empty map for at most capacity keys, and for at least one.
func NewMap[K comparable, V any](capacity int) *Map[K, V] {
	return &Map[K, V]{capacity: max(capacity, 1), elements: map[K]*list.Element{}, order: list.New()}
}

// Len returns the number of keys.
func (m *Map[K, V]) Len() int { return len(m.elements) }

// Get returns the value of a key, the zero value if the map doesn't hold it.
func (m *Map[K, V]) Get(key K) (value V, ok bool) {
	e, ok := m.elements[key]
	if !ok {
		return value, false
	}
	return e.Value.(entry[K, V]).value, true
}

// Set sets the value of a key, which keeps its place in the order. A new key may push out the oldest one.
func (m *Map[K, V]) Set(key K, value V) {
	if e, held := m.elements[key]; held {
		e.Value = entry[K, V]{key, value}
		return
	}
	if len(m.elements) >= m.capacity {
		m.Delete(m.order.Front().Value.(entry[K, V]).key)
	}
	m.elements[key] = m.order.PushBack(entry[K, V]{key, value})
}

// Delete removes a key if the map holds it.
func (m *Map[K, V]) Delete(key K) {
	if e, held := m.elements[key]; held {
		m.order.Remove(e)
		delete(m.elements, key)
	}
}

// Keys returns the keys, the oldest first.
func (m *Map[K, V]) Keys() (keys []K) {
	for e := m.order.Front(); e != nil; e = e.Next() {
		keys = append(keys, e.Value.(entry[K, V]).key)
	}
	return keys
}
