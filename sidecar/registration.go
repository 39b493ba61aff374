package sidecar

import (
	"context"
	"slices"
	"sync"

	"amaranthstile/event"
	"amaranthstile/internal/wait"
	"amaranthstile/result"
)

// registration keeps this instance's entry in the store: where other instances reach it, and which processes of its
// backend server have left. It is safe for concurrent use.
//
// What a backend server has reported of its leaving has to outlive this process: the next process under this instance's
// name may get a late report of it.
type registration struct {
	store       Store
	event       *event.Logger
	generations *generations
	// onStored is called with the departures that the store holds, after each write.
	onStored func(Departures)
	// onFirstStart is called if the store held no entry of this name before the first write.
	onFirstStart func()

	calls sync.Mutex // held during a write, so that the latest one is complete

	mu      sync.Mutex
	contact Contact       // to be stored; guarded by mu
	stored  *Registration // as the store holds it, nil before the first write; guarded by mu
	changed chan struct{} // closed when stored is replaced; guarded by mu
	waiting chan struct{} // has an element when run has departures to store
}

func newRegistration(store Store, c Contact, g *generations, e *event.Logger, onStored func(Departures)) *registration {
	return &registration{
		store: store, event: e, generations: g, onStored: onStored, contact: c,
		changed: make(chan struct{}), waiting: make(chan struct{}, 1),
	}
}

// isCurrent reports whether the store holds the entry, also in its latest known generation.
func (r *registration) isCurrent() bool {
	newest, _ := r.generations.current()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stored != nil && r.stored.Position.Generation >= newest
}

// write stores the entry.
func (r *registration) write(ctx context.Context) error {
	r.calls.Lock()
	defer r.calls.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	newest, _ := r.generations.current()
	r.mu.Lock()
	contact := r.contact
	contact.Departed = slices.Clone(contact.Departed)
	revision := uint64(0)
	if r.stored != nil && r.stored.Position.Generation >= newest {
		revision = r.stored.Position.Revision
	}
	r.mu.Unlock()
	stored, err := r.store.Register(ctx, contact, revision)
	if err != nil {
		r.event.Log(event.PlatformAway, event.F("call", "register"), event.F("error", err.Error()))
		return err
	}
	r.mu.Lock()
	isFirst := r.stored == nil && stored.Created
	r.stored = &stored
	for _, p := range stored.Departed {
		r.contact.Departed.add(p)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.generations.observe(stored.Position.Generation)
	r.onStored(stored.Departed)
	if isFirst {
		r.onFirstStart()
	}
	return nil
}

// recordDeparture returns once the store holds a departure. If ctx ends before, the error carries DepartureUnrecorded;
// run goes on trying.
func (r *registration) recordDeparture(ctx context.Context, p BackendProcess) error {
	r.mu.Lock()
	r.contact.Departed.add(p)
	r.mu.Unlock()
	for {
		stored, changed := r.holds(p)
		if stored {
			return nil
		}
		select {
		case r.waiting <- struct{}{}:
		default:
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result.New(result.DepartureUnrecorded, "the store does not hold the departure of the backend server %s yet", p.ID)
		}
	}
}

// holds reports whether the store holds a departure, and returns a channel that is closed after the next write.
func (r *registration) holds(p BackendProcess) (stored bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stored != nil && r.stored.Departed.contains(p), r.changed
}

// run stores departures until ctx ends.
func (r *registration) run(ctx context.Context) {
	backoff := wait.Backoff{Min: minBackoff, Max: maxBackoff}
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.waiting:
		}
		for !r.holdsAll() && ctx.Err() == nil {
			if r.write(ctx) != nil {
				backoff.Wait(ctx)
				continue
			}
			backoff.Reset()
		}
	}
}

// holdsAll reports whether the store holds all departures.
func (r *registration) holdsAll() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stored != nil && !slices.ContainsFunc(r.contact.Departed, func(p BackendProcess) bool {
		return !r.stored.Departed.contains(p)
	})
}
