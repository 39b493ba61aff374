package backend

import (
	"context"
	"sync"
	"time"

	"amaranthstile/result"
)

// Claim says for whom a slot is wanted.
type Claim struct {
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
	// Repeat says that an earlier try of the request has reached a backend server.
	Repeat bool
	// Route names the route, by which the usual time is known.
	Route string
	// Due is until when an answer is worth most; zero where that does not matter.
	Due time.Time
	// Call says that a backend server waits for the answer, which holds a slot meanwhile.
	Call bool
	// LastResort says that no other endpoint takes the request.
	LastResort bool
}

// Gate hands out the slots of a backend server.
type Gate interface {
	// Acquire waits for a slot until ctx ends; its errors carry BackendBusy or QueueFull, and the request was
	// not run. The caller calls release exactly once.
	Acquire(ctx context.Context, c Claim) (release func(), err error)
	// Load returns the present load.
	Load() Load
}

// Slots is a Queue that many requests wait in at once.
type Slots struct {
	mu    sync.Mutex
	queue *Queue // guarded by mu
}

// NewSlots returns n free slots.
func NewSlots(n int) *Slots { return &Slots{queue: NewQueue(n)} }

// Load implements Gate.
func (s *Slots) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Load()
}

// SetSlots changes the number of slots; requests that hold one keep it.
func (s *Slots) SetSlots(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wake(s.queue.SetSlots(time.Now(), n))
}

// Acquire implements Gate.
func (s *Slots) Acquire(ctx context.Context, c Claim) (release func(), err error) {
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

func (s *Slots) arrive(ctx context.Context, c Claim) (*Waiter, bool, error) {
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
func (s *Slots) leave(w *Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Leave(w)
	wake(s.queue.Release(time.Now(), w))
}

func (s *Slots) release(w *Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wake(s.queue.Release(time.Now(), w))
}

func wake(granted []*Waiter) {
	for _, w := range granted {
		close(w.granted)
	}
}
