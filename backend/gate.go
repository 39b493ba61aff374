package backend

import (
	"context"
	"sync"
	"time"

	"amaranthstile/result"
)

// SlotRequest describes a request that needs a slot.
type SlotRequest struct {
	// Account is the client account; empty on routes that need no account.
	Account string
	// Weight is the account's weight in fair queueing, at least 1.
	Weight int
	// NoWait is set if the request should fail rather than wait, because another endpoint can take it.
	NoWait bool
	// Priority ranks waiting requests; the lowest value comes first, 0 for the most urgent. It is the priority of the
	// client account, if that has one, and otherwise that of the route.
	Priority int
	// RoutePriority is the priority of the route. It ranks requests of equal Priority.
	RoutePriority int
	// Repeatable is set if the request may be run more than once.
	Repeatable bool
	// Retry is set if an earlier attempt of the request reached a backend server.
	Retry bool
	// Route is the route of the request; expected durations are kept per route.
	Route string
	// SoftDeadline is the time after which the response loses most of its value; zero if there is none.
	SoftDeadline time.Time
	// NestedCall is set if another backend server waits for the response, and holds a slot while it waits.
	NestedCall bool
	// LastResort is set if no other endpoint accepts the request.
	LastResort bool
	// AcceptLate is set if the request should wait until its deadline, where there is hope, rather than be refused because
	// it can't meet its soft deadline: it will not be sent to another endpoint.
	AcceptLate bool
	// RetryShare is the probability that a nested call belongs to a retried request and thus counts as a retry, too.
	RetryShare float64
}

// Gate grants the slots of a backend server.
type Gate interface {
	// Acquire waits for a slot until ctx ends. An error carries BackendBusy or QueueFull and means that the request
	// was not run. The caller must call release exactly once.
	Acquire(ctx context.Context, r SlotRequest) (release func(), err error)
	// Load returns the current load.
	Load() Load
}

// FairGate is a Gate that grants slots by a FairQueue. It is safe for concurrent use.
type FairGate struct {
	mu    sync.Mutex
	queue *FairQueue // guarded by mu
}

// NewFairGate returns a gate with n free slots.
func NewFairGate(n int) *FairGate { return &FairGate{queue: NewFairQueue(n)} }

// Load implements Gate.
func (g *FairGate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load()
}

// SetSlots changes the number of slots; requests that hold a slot keep it.
func (g *FairGate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notify(g.queue.SetSlots(time.Now(), n))
}

// Acquire implements Gate.
func (g *FairGate) Acquire(ctx context.Context, r SlotRequest) (release func(), err error) {
	if ctx.Err() != nil {
		return nil, result.New(result.BackendBusy, "the request was cancelled or its deadline has passed")
	}
	w, granted, err := g.arrive(ctx, r)
	if err != nil {
		return nil, err
	}
	release = func() { g.release(w) }
	if granted {
		return release, nil
	}
	select {
	case <-w.granted:
		return release, nil
	case <-ctx.Done():
		g.cancel(w)
		return nil, result.New(result.BackendBusy, "no slot became free in time")
	}
}

// arrive adds a request to the queue and gives it a channel to wait on if it was not granted a slot.
func (g *FairGate) arrive(ctx context.Context, r SlotRequest) (*Waiter, bool, error) {
	deadline, _ := ctx.Deadline()
	g.mu.Lock()
	defer g.mu.Unlock()
	w, granted, err := g.queue.Arrive(time.Now(), deadline, r)
	if err == nil && !granted {
		w.granted = make(chan struct{})
	}
	return w, granted, err
}

// cancel stops the wait, or releases the slot if it was granted in the meantime.
func (g *FairGate) cancel(w *Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Cancel(w)
	notify(g.queue.Release(time.Now(), w))
}

func (g *FairGate) release(w *Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notify(g.queue.Release(time.Now(), w))
}

// notify wakes the requests that were granted a slot.
func notify(granted []*Waiter) {
	for _, w := range granted {
		close(w.granted)
	}
}
