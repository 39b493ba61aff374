package exit

import "sync"

// guardSize is how many identities one generation of a guard holds.
const guardSize = 8192

// guard remembers the exchanges that were handed over, at least the last guardSize of them, so that a doubled
// message of the link can't run a request twice.
type guard struct {
	mu      sync.Mutex
	current map[string]struct{}
	before  map[string]struct{}
}

func newGuard() *guard {
	return &guard{current: make(map[string]struct{})}
}

// first notes an exchange and reports whether it was not noted before.
func (g *guard) first(exchange string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.current[exchange]; ok {
		return false
	}
	if _, ok := g.before[exchange]; ok {
		return false
	}
	if len(g.current) >= guardSize {
		g.before = g.current
		g.current = make(map[string]struct{}, guardSize)
	}
	g.current[exchange] = struct{}{}
	return true
}
