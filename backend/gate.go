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
	// Priority ranks waiting requests; the lowest value comes first, 0 for the most urgent.
	Priority int
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
func (s *FairGate) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Load()
}

// SetSlots changes the number of slots; requests that hold a slot keep it.
func (s *FairGate) SetSlots(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	notify(s.queue.SetSlots(time.Now(), n))
}

// Acquire implements Gate.
func (s *FairGate) Acquire(ctx context.Context, r SlotRequest) (release func(), err error) {
	if ctx.Err() != nil {
		return nil, result.New(result.BackendBusy, "the request was cancelled or its deadline has passed")
	}
	w, granted, err := s.arrive(ctx, r)
	if err != nil {
		return nil, err
	}
	release = func() { s.release(w) }
	if granted {
		return release, nil
	}
	select {
	case <-w.granted:
		return release, nil
	case <-ctx.Done():
		s.cancel(w)
		return nil, result.New(result.BackendBusy, "no slot became free in time")
	}
}

// arrive adds a request to the queue and gives it a channel to wait on if it was not granted a slot.
func (s *FairGate) arrive(ctx context.Context, r SlotRequest) (*Waiter, bool, error) {
	deadline, _ := ctx.Deadline()
	s.mu.Lock()
	defer s.mu.Unlock()
	w, granted, err := s.queue.Arrive(time.Now(), deadline, r)
	if err == nil && !granted {
		w.granted = make(chan struct{})
	}
	return w, granted, err
}

// cancel stops the wait, or releases the slot if it was granted in the meantime.
func (s *FairGate) cancel(w *Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Cancel(w)
	notify(s.queue.Release(time.Now(), w))
}

func (s *FairGate) release(w *Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	notify(s.queue.Release(time.Now(), w))
}

// notify wakes the requests that were granted a slot.
func notify(granted []*Waiter) {
	for _, w := range granted {
		close(w.granted)
	}
}
