// Package cow holds copy-on-write hash maps for tables that are read without locks and change a little at a time.
//
// A Map is immutable. An Editor makes a changed copy that shares with the original every part that did not
// change: an edit costs one copy of the list of leaves and one of each touched leaf, whatever the map's size.
// The hash decides the leaf; a leaf holds up to some dozens of entries and is scanned by hash.
package cow

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// leafEntries is the average number of entries in a leaf above which the number of leaves doubles.
const leafEntries = 32

// leafSlack is the unused room that a leaf may keep, in entries.
const leafSlack = 1

// Map is an immutable map. Any number of goroutines may read it.
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

// New returns an empty map whose keys are spread by hash.
func New[K comparable, V any](hash func(K) uint64) Map[K, V] {
	return Map[K, V]{hash: hash, leaves: make([]leaf[K, V], 1)}
}

// HashString is the hash for string keys.
func HashString(s string) uint64 { return xxhash.Sum64String(s) }

// multiplier spreads the bits of one hash before another joins it.
const multiplier = 0x9E3779B97F4A7C15

// HashStrings is the hash for keys of two strings.
func HashStrings(a, b string) uint64 { return xxhash.Sum64String(a)*multiplier ^ xxhash.Sum64String(b) }

// HashNumber is the hash for numbers that may follow one another.
func HashNumber(n uint64) uint64 { return n * multiplier >> 16 }

// HashIdentity is the hash for keys that are evenly spread already, such as parts of a cryptographic hash.
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

// Editor makes a changed copy of a map. It is not safe for concurrent use.
type Editor[K comparable, V any] struct {
	m     Map[K, V]
	owned []bool // leaves that this editor copied already
}

// Edit starts a changed copy.
func (m Map[K, V]) Edit() *Editor[K, V] {
	m.leaves = append([]leaf[K, V](nil), m.leaves...)
	return &Editor[K, V]{m: m, owned: make([]bool, len(m.leaves))}
}

// Map returns the changed copy; the editor is not used afterwards.
func (e *Editor[K, V]) Map() Map[K, V] {
	for at, l := range e.m.leaves {
		if e.owned[at] && cap(l)-len(l) > leafSlack {
			e.m.leaves[at] = append(make(leaf[K, V], 0, len(l)), l...)
		}
	}
	return e.m
}

// Get returns the value of a key as edited so far.
func (e *Editor[K, V]) Get(k K) (V, bool) { return e.m.Get(k) }

// Len returns the number of entries as edited so far.
func (e *Editor[K, V]) Len() int { return e.m.count }

// own returns the index of the hash's leaf, which belongs to the editor alone afterwards.
func (e *Editor[K, V]) own(h uint64, room int) int {
	at := int(h & uint64(len(e.m.leaves)-1))
	if !e.owned[at] {
		old := e.m.leaves[at]
		e.m.leaves[at] = append(make(leaf[K, V], 0, len(old)+room), old...)
		e.owned[at] = true
	}
	return at
}

// Set puts a value in place of the key's earlier one.
func (e *Editor[K, V]) Set(k K, v V) {
	h := e.m.hash(k)
	at := e.own(h, 1)
	if i := e.m.leaves[at].find(h, k); i >= 0 {
		e.m.leaves[at][i].value = v
		return
	}
	e.m.leaves[at] = append(e.m.leaves[at], entry[K, V]{hash: h, key: k, value: v})
	e.m.count++
	if e.m.count > leafEntries*len(e.m.leaves) {
		e.grow()
	}
}

// Delete removes a key; it does nothing if the key is absent.
func (e *Editor[K, V]) Delete(k K) {
	h := e.m.hash(k)
	at := int(h & uint64(len(e.m.leaves)-1))
	if e.m.leaves[at].find(h, k) < 0 {
		return
	}
	e.own(h, 0)
	l := e.m.leaves[at]
	i := l.find(h, k)
	last := len(l) - 1
	l[i] = l[last]
	l[last] = entry[K, V]{}
	e.m.leaves[at] = l[:last]
	e.m.count--
}

// grow doubles the number of leaves; it happens once per doubling of the map.
func (e *Editor[K, V]) grow() {
	n := 2 * len(e.m.leaves)
	leaves := make([]leaf[K, V], n)
	for _, old := range e.m.leaves {
		for i := range old {
			at := old[i].hash & uint64(n-1)
			leaves[at] = append(leaves[at], old[i])
		}
	}
	e.m.leaves = leaves
	e.owned = make([]bool, n)
	for i := range e.owned {
		e.owned[i] = true
	}
}
