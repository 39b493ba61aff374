package backend

import (
	"context"
	"sync"
	"time"

	"amaranthstile/result"
)

// SlotRequest says for whom a slot is wanted.
type SlotRequest struct {
	// Account is the client account, "" on routes open to all.
	Account string
	// Weight is the account's weight in fair queues, from 1.
	Weight int
	// NoWait says that the request goes to another endpoint rather than wait here.
	NoWait bool
	// Priority ranks waiting requests, 0 first.
	Priority int
	// Repeatable says that the request may run again.
	Repeatable bool
	// Retry says that an earlier try of the request has reached a backend server.
	Retry bool
	// Route names the route, by which the usual time is known.
	Route string
	// SoftDeadline is until when an answer is worth most; zero where that does not matter.
	SoftDeadline time.Time
	// NestedCall says that a backend server waits for the answer, which holds a slot meanwhile.
	NestedCall bool
	// LastResort says that no other endpoint takes the request.
	LastResort bool
}

// Gate hands out the slots of a backend server.
type Gate interface {
	// Acquire waits for a slot until ctx ends; its errors carry BackendBusy or QueueFull, and the request was
	// not run. The caller calls release exactly once.
	Acquire(ctx context.Context, c SlotRequest) (release func(), err error)
	// Load returns the present load.
	Load() Load
}

// FairGate is a Queue that many requests wait in at once.
type FairGate struct {
	mu    sync.Mutex
	queue *FairQueue // guarded by mu
}

// NewFairGate returns n free slots.
func NewFairGate(n int) *FairGate { return &FairGate{queue: NewFairQueue(n)} }

// Load implements Gate.
func (s *FairGate) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Load()
}

// SetSlots changes the number of slots; requests that hold one keep it.
func (s *FairGate) SetSlots(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wake(s.queue.SetSlots(time.Now(), n))
}

// Acquire implements Gate.
func (s *FairGate) Acquire(ctx context.Context, c SlotRequest) (release func(), err error) {
	if ctx.Err() != nil {
		return nil, result.New(result.BackendBusy, "no time is left")
	}
	w, granted, err := s.arrive(ctx, c)
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
		s.leave(w)
		return nil, result.New(result.BackendBusy, "no free slot in time")
	}
}

func (s *FairGate) arrive(ctx context.Context, c SlotRequest) (*Waiter, bool, error) {
	deadline, _ := ctx.Deadline()
	s.mu.Lock()
	defer s.mu.Unlock()
	w, granted, err := s.queue.Arrive(time.Now(), deadline, c)
	if err == nil && !granted {
		w.granted = make(chan struct{})
	}
	return w, granted, err
}

// leave gives up the wait, or the slot that was granted meanwhile.
func (s *FairGate) leave(w *Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Cancel(w)
	wake(s.queue.Release(time.Now(), w))
}

func (s *FairGate) release(w *Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wake(s.queue.Release(time.Now(), w))
}

func wake(granted []*Waiter) {
	for _, w := range granted {
		close(w.granted)
	}
}
