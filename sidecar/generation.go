package sidecar

import (
	"sync"

	"amaranthstile/event"
)

// generations follows the generation of the store, by what its responses state. It is safe for concurrent use.
type generations struct {
	event *event.Logger

	mu      sync.Mutex
	newest  uint64
	changed chan struct{} // closed when a later generation is observed
}

func newGenerations(e *event.Logger) *generations {
	return &generations{event: e, changed: make(chan struct{})}
}

// observe records the generation of a response.
func (g *generations) observe(generation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if generation <= g.newest {
		return
	}
	if g.newest > 0 {
		g.event.Log(event.PlatformRestored, event.F("generation", generation), event.F("before", g.newest))
	}
	g.newest = generation
	close(g.changed)
	g.changed = make(chan struct{})
}

// current returns the latest known generation, and a channel that is closed when a later one is known.
func (g *generations) current() (newest uint64, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.newest, g.changed
}
