package admission

import (
	"context"
	"sync"
	"time"

	"amaranthstile/backend"
	"amaranthstile/result"
)

// Gate makes a Controller safe for concurrent use. It implements backend.Gate and backend.Observer.
type Gate struct {
	mu                 sync.Mutex
	controller         *Controller // guarded by mu
	nestedCallFailedAt time.Time   // when a nested call of the backend server last failed; guarded by mu
	// onCooldown is called with the duration of a cooldown and the outcome that started it.
	onCooldown func(time.Duration, backend.Outcome)
}

// NewGate returns the gate of a backend server with the given number of slots. bound returns this gate's share of the
// retry bound. onCooldown is called when a cooldown starts; it may be nil.
func NewGate(slots int, bound func() RetryBound, onCooldown func(time.Duration, backend.Outcome)) *Gate {
	if onCooldown == nil {
		onCooldown = func(time.Duration, backend.Outcome) {}
	}
	return &Gate{controller: NewController(slots, bound), onCooldown: onCooldown}
}

// SetColdGuard makes the gate keep the bound on a cold backend server. It is called before the first request.
func (g *Gate) SetColdGuard(c *ColdGuard) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.cold = c
}

// NestedCallFailed records that a call made by the backend server failed. Error responses to requests that ran at that
// time do not count against the backend server.
func (g *Gate) NestedCallFailed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nestedCallFailedAt = now
}

// Load implements backend.Gate.
func (g *Gate) Load() backend.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Load()
}

// RetryShare returns which share of the running requests are retries, which is the probability that a nested call of the
// backend server belongs to one.
func (g *Gate) RetryShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.RetryShare()
}

// LearnLimit takes over the limit that the backend server names in a response, in requests per second; limited is false
// if it names none.
func (g *Gate) LearnLimit(limit float64, limited bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.limit.Learn(time.Now(), limit, limited)
}

// SuggestLimit takes over a limit that another instance saw in an earlier response, unless a response to this instance is
// known.
func (g *Gate) SuggestLimit(limit float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.limit.Suggest(time.Now(), limit)
}

// SetSlots changes the number of slots; requests that hold a slot keep it.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notify(g.controller.SetSlots(time.Now(), n))
}

// RefuseWaiting refuses all waiting requests with an error, so that they can go to another endpoint while there is time.
func (g *Gate) RefuseWaiting(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notify(g.controller.RefuseWaiting(err))
}

// Acquire implements backend.Gate.
func (g *Gate) Acquire(ctx context.Context, r backend.SlotRequest) (release func(), err error) {
	if ctx.Err() != nil {
		return nil, result.New(result.BackendBusy, "the request was cancelled or its deadline has passed")
	}
	deadline, _ := ctx.Deadline()
	g.mu.Lock()
	w, granted, err := g.controller.Arrive(time.Now(), deadline, r)
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
		g.cancel(w)
		return nil, result.New(result.BackendBusy, "no slot became free in time")
	}
}

// cancel stops the wait, or releases the slot if it was granted in the meantime.
func (g *Gate) cancel(w *Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Cancel(w)
	select {
	case err := <-w.granted:
		if err == nil {
			notify(g.controller.Release(time.Now(), w))
		}
	default:
	}
}

func (g *Gate) release(w *Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notify(g.controller.Release(time.Now(), w))
}

// notify wakes the requests whose wait ended.
func notify(grants []Grant) {
	for _, grant := range grants {
		grant.Waiter.granted <- grant.Err
	}
}

// Begin implements backend.Observer.
func (g *Gate) Begin(_, route string, now time.Time) backend.Exchange {
	return &exchange{gate: g, route: route, begin: now}
}

// exchange observes one request at the backend server.
type exchange struct {
	gate  *Gate
	route string
	begin time.Time
}

// Sent implements backend.Exchange.
func (e *exchange) Sent(time.Time) {}

// Head implements backend.Exchange.
func (e *exchange) Head(time.Time) {}

// End implements backend.Exchange.
func (e *exchange) End(now time.Time, o backend.Outcome) {
	g := e.gate
	g.mu.Lock()
	if o == backend.OutcomeError && !g.nestedCallFailedAt.Before(e.begin) {
		o = backend.OutcomeCancelled // the error may be due to the failed nested call
	}
	previous := g.controller.Cooldown(now)
	notify(g.controller.Observe(now, o, e.route, now.Sub(e.begin)))
	cooldown := g.controller.Cooldown(now)
	g.mu.Unlock()
	if previous == 0 && cooldown > 0 {
		g.onCooldown(cooldown, o)
	}
}
