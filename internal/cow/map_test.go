package cow_test

import (
	"maps"
	"testing"

	"pgregory.net/rapid"

	"amaranthstile/internal/cow"
)

// TestEditsMatchPlainMap compares sequences of edits with a plain map, and checks that earlier copies do not change.
func TestEditsMatchPlainMap(t *testing.T) {
	hashes := map[string]func(int) uint64{
		"spread":  func(k int) uint64 { return uint64(k) * 0x9E3779B97F4A7C15 },
		"collide": func(k int) uint64 { return uint64(k % 3) },
	}
	for name, hash := range hashes {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			var copies []cow.Map[int, int]
			var want []map[int]int
			m, plain := cow.New[int, int](hash), map[int]int{}
			for range rapid.IntRange(1, 8).Draw(t, "edits") {
				e := m.Edit()
				for range rapid.IntRange(0, 80).Draw(t, "steps") {
					k := rapid.IntRange(0, 120).Draw(t, "key")
					if rapid.Bool().Draw(t, "delete") {
						e.Delete(k)
						delete(plain, k)
						continue
					}
					v := rapid.Int().Draw(t, "value")
					e.Set(k, v)
					plain[k] = v
				}
				m = e.Map()
				copies, want = append(copies, m), append(want, maps.Clone(plain))
			}
			for i, c := range copies {
				if c.Len() != len(want[i]) || !maps.Equal(maps.Collect(c.All()), want[i]) {
					t.Fatalf("copy %d differs from the plain map", i)
				}
				for k := range 121 {
					v, ok := c.Get(k)
					if w, has := want[i][k]; ok != has || v != w {
						t.Fatalf("copy %d, key %d: %d %v, want %d %v", i, k, v, ok, w, has)
					}
				}
			}
		}))
	}
}
