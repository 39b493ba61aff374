package sidecar

import (
	"sync"

	"amaranthstile/event"
)

// generations follows the generation of the store, by what its responses state. It is safe for concurrent use.
type generations struct {
	event *event.Logger

	mu     sync.Mutex
	newest uint64
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
}
