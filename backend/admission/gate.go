package admission

import (
	"context"
	"sync"
	"time"

	"amaranthstile/backend"
	"amaranthstile/result"
)

// Gate is a Controller that many requests ask at once. It implements backend.Gate and backend.Observer.
type Gate struct {
	mu         sync.Mutex
	controller *Controller // guarded by mu
	callFailed time.Time   // when a call of the backend server last failed; guarded by mu
	// rested is told when the backend server goes to rest.
	rested func(time.Duration, backend.Outcome)
}

// NewGate returns the gate of a backend server with a number of slots; rested may be nil.
func NewGate(slots int, bound func() RetryBound, rested func(time.Duration, backend.Outcome)) *Gate {
	if rested == nil {
		rested = func(time.Duration, backend.Outcome) {}
	}
	return &Gate{controller: NewController(slots, bound), rested: rested}
}

// NestedCallFailed notes that a call which the backend server made has failed: errors of what it ran meanwhile are not its own.
func (g *Gate) NestedCallFailed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.callFailed = now
}

// Load implements backend.Gate.
func (g *Gate) Load() backend.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Load()
}

// SetSlots changes the number of slots; requests that hold one keep it.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	tell(g.controller.SetSlots(time.Now(), n))
}

// Acquire implements backend.Gate.
func (g *Gate) Acquire(ctx context.Context, claim backend.SlotRequest) (release func(), err error) {
	if ctx.Err() != nil {
		return nil, result.New(result.BackendBusy, "no time is left")
	}
	deadline, _ := ctx.Deadline()
	g.mu.Lock()
	w, granted, err := g.controller.Arrive(time.Now(), deadline, claim)
	if err == nil && !granted {
		w.granted = make(chan error, 1)
	}
	g.mu.Unlock()
	if err != nil {
		return nil, err
	}
	release = func() { g.release(w) }
	if granted {
		return release, nil
	}
	select {
	case err := <-w.granted:
		if err != nil {
			return nil, err
		}
		return release, nil
	case <-ctx.Done():
		g.leave(w)
		return nil, result.New(result.BackendBusy, "no free slot in time")
	}
}

// leave gives up the wait, or the slot that was granted meanwhile.
func (g *Gate) leave(w *Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Cancel(w)
	select {
	case err := <-w.granted:
		if err == nil {
			tell(g.controller.Release(time.Now(), w))
		}
	default:
	}
}

func (g *Gate) release(w *Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	tell(g.controller.Release(time.Now(), w))
}

func tell(grants []Grant) {
	for _, x := range grants {
		x.Waiter.granted <- x.Err
	}
}

// Begin implements backend.Observer.
func (g *Gate) Begin(_, route string, now time.Time) backend.Exchange {
	return &exchange{gate: g, route: route, began: now}
}

// exchange is one request at the backend server.
type exchange struct {
	gate  *Gate
	route string
	began time.Time
}

// Sent implements backend.Exchange.
func (e *exchange) Sent(time.Time) {}

// Head implements backend.Exchange.
func (e *exchange) Head(time.Time) {}

// End implements backend.Exchange.
func (e *exchange) End(now time.Time, o backend.Outcome) {
	g := e.gate
	g.mu.Lock()
	if o == backend.OutcomeError && !g.callFailed.Before(e.began) {
		o = backend.OutcomeCancelled // the backend server failed for want of another's answer
	}
	before := g.controller.Cooldown(now)
	tell(g.controller.Observe(now, o, e.route, now.Sub(e.began)))
	rest := g.controller.Cooldown(now)
	g.mu.Unlock()
	if before == 0 && rest > 0 {
		g.rested(rest, o)
	}
}
