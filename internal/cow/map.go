// Package cow provides copy-on-write hash maps, for tables that are read without locks and change in small steps.
//
// A Map is immutable. An Editor makes a changed copy that shares all unchanged parts with the original: an edit copies
// the list of leaves once and each changed leaf once, whatever the size of the map. The hash of a key selects its leaf.
// A leaf holds up to some dozens of entries and is searched linearly, by hash.
package cow

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// leafEntries is the average number of entries in a leaf above which the number of leaves doubles.
const leafEntries = 32

// leafSlack is the unused capacity that a leaf may keep, in entries.
const leafSlack = 1

// Map is an immutable map. It is safe for concurrent use.
type Map[K comparable, V any] struct {
	hash   func(K) uint64
	leaves []leaf[K, V] // their number is a power of two
	count  int
}

type leaf[K comparable, V any] []entry[K, V]

type entry[K comparable, V any] struct {
	hash  uint64
	key   K
	value V
}

// New returns an empty map that uses the given hash function.
func New[K comparable, V any](hash func(K) uint64) Map[K, V] {
	return Map[K, V]{hash: hash, leaves: make([]leaf[K, V], 1)}
}

// HashString is the hash function for string keys.
func HashString(s string) uint64 { return xxhash.Sum64String(s) }

// multiplier mixes the bits of a number or of a hash; it is 2^64 divided by the golden ratio.
const multiplier = 0x9E3779B97F4A7C15

// HashStrings is the hash function for keys of two strings.
func HashStrings(a, b string) uint64 { return xxhash.Sum64String(a)*multiplier ^ xxhash.Sum64String(b) }

// HashNumber is the hash function for numbers that may be consecutive.
func HashNumber(n uint64) uint64 { return n * multiplier >> 16 }

// HashIdentity is the hash function for keys that are already evenly distributed, such as parts of a cryptographic
// hash.
func HashIdentity(n uint64) uint64 { return n }

// Len returns the number of entries.
func (m Map[K, V]) Len() int { return m.count }

// Get returns the value of a key.
func (m Map[K, V]) Get(k K) (V, bool) {
	h := m.hash(k)
	l := m.leaves[h&uint64(len(m.leaves)-1)]
	if i := l.find(h, k); i >= 0 {
		return l[i].value, true
	}
	var zero V
	return zero, false
}

// All yields every entry, in no particular order.
func (m Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, l := range m.leaves {
			for i := range l {
				if !yield(l[i].key, l[i].value) {
					return
				}
			}
		}
	}
}

func (l leaf[K, V]) find(h uint64, k K) int {
	for i := range l {
		if l[i].hash == h && l[i].key == k {
			return i
		}
	}
	return -1
}

// Editor makes a changed copy of a Map. It is not safe for concurrent use.
type Editor[K comparable, V any] struct {
	m     Map[K, V]
	owned []bool // leaves that this editor has copied and may change
}

// Edit returns an Editor of a copy of the map.
func (m Map[K, V]) Edit() *Editor[K, V] {
	m.leaves = append([]leaf[K, V](nil), m.leaves...)
	return &Editor[K, V]{m: m, owned: make([]bool, len(m.leaves))}
}

// Map returns the changed copy. The editor must not be used afterwards.
func (e *Editor[K, V]) Map() Map[K, V] {
	for index, l := range e.m.leaves {
		if e.owned[index] && cap(l)-len(l) > leafSlack {
			e.m.leaves[index] = append(make(leaf[K, V], 0, len(l)), l...)
		}
	}
	return e.m
}

// Get returns the value of a key in the edited map.
func (e *Editor[K, V]) Get(k K) (V, bool) { return e.m.Get(k) }

// Len returns the number of entries in the edited map.
func (e *Editor[K, V]) Len() int { return e.m.count }

// ownLeaf returns the index of the leaf for a hash. It first copies the leaf, with capacity for extra more entries, if
// the editor still shares the leaf with the original.
func (e *Editor[K, V]) ownLeaf(h uint64, extra int) int {
	index := int(h & uint64(len(e.m.leaves)-1))
	if !e.owned[index] {
		old := e.m.leaves[index]
		e.m.leaves[index] = append(make(leaf[K, V], 0, len(old)+extra), old...)
		e.owned[index] = true
	}
	return index
}

// Set sets the value of a key.
func (e *Editor[K, V]) Set(k K, v V) {
	h := e.m.hash(k)
	index := e.ownLeaf(h, 1)
	if i := e.m.leaves[index].find(h, k); i >= 0 {
		e.m.leaves[index][i].value = v
		return
	}
	e.m.leaves[index] = append(e.m.leaves[index], entry[K, V]{hash: h, key: k, value: v})
	e.m.count++
	if e.m.count > leafEntries*len(e.m.leaves) {
		e.grow()
	}
}

// Delete removes a key. It does nothing if the key is absent.
func (e *Editor[K, V]) Delete(k K) {
	h := e.m.hash(k)
	index := int(h & uint64(len(e.m.leaves)-1))
	if e.m.leaves[index].find(h, k) < 0 {
		return
	}
	e.ownLeaf(h, 0)
	l := e.m.leaves[index]
	i := l.find(h, k)
	last := len(l) - 1
	l[i] = l[last]
	l[last] = entry[K, V]{}
	e.m.leaves[index] = l[:last]
	e.m.count--
}

// grow doubles the number of leaves. It is called once each time that the map doubles in size.
func (e *Editor[K, V]) grow() {
	n := 2 * len(e.m.leaves)
	leaves := make([]leaf[K, V], n)
	for _, old := range e.m.leaves {
		for i := range old {
			index := old[i].hash & uint64(n-1)
			leaves[index] = append(leaves[index], old[i])
		}
	}
	e.m.leaves = leaves
	e.owned = make([]bool, n)
	for i := range e.owned {
		e.owned[i] = true
	}
}
