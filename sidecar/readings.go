package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"amaranthstile/freshness"
	"amaranthstile/gossip"
	"amaranthstile/internal/wait"
	"amaranthstile/link"
	"amaranthstile/membership"
)

// readings keeps track of the readings of one kind that this instance and others make at the store, and passes them on. It
// is safe for concurrent use.
type readings struct {
	members *gossip.Members
	// version returns the version in force at this instance; 0 if what is read has none.
	version func() uint64

	mu      sync.Mutex
	tracker *freshness.Tracker // guarded by mu
}

func newReadings(m *gossip.Members, self membership.Record, version func() uint64) *readings {
	return &readings{
		members: m, version: version,
		tracker: freshness.NewTracker(freshness.Options{
			Self: self.ID, Domain: self.Domain, Protocol: link.ProtocolReadings, Rand: gossip.NewRand(),
		}),
	}
}

// start lets readings become overdue from now on.
func (r *readings) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Start(time.Now())
}

// succeeded records that this instance has read the store, as requested at a time.
func (r *readings) succeeded(requestedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Succeeded(requestedAt)
}

// failed records that this instance could not read the store.
func (r *readings) failed(deadline time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Failed(time.Now(), deadline)
}

// last returns when the latest known reading was made.
func (r *readings) last() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Last()
}

// beginTurn reports whether this instance reads the store in a turn that falls to it.
func (r *readings) beginTurn(deadline time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.BeginTurn(time.Now(), deadline)
}

// awaitOverdue waits until this instance may have to read the store itself, or until ctx ends, and reports whether it has
// to. That is so if most others have ended, if this instance is cut off from them, or if none of them knows of it.
func (r *readings) awaitOverdue(ctx context.Context, deadline time.Duration) bool {
	r.mu.Lock()
	overdueAt := r.tracker.OverdueAt(deadline)
	r.mu.Unlock()
	// without the random part, instances that miss the same reading would all read at the same moment
	wait.Sleep(ctx, time.Until(overdueAt)+rand.N(turnLength(deadline)))
	r.mu.Lock()
	defer r.mu.Unlock()
	return ctx.Err() == nil && r.tracker.BeginOverdue(time.Now(), deadline)
}

// spread sends a reading that this instance made to all others. The state hash is 0 for a reading of the configuration.
func (r *readings) spread(requestedAt time.Time, stateHash uint64) {
	reading := membership.Reading{At: requestedAt, Revision: r.version(), StateHash: stateHash}
	r.members.SendReadings(func(suspected map[membership.ID]bool) []membership.ReadingTo {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.tracker.Spread(reading, r.members.Directory(), suspected)
	})
}

// receive records a reading of another instance and returns where to pass it on.
func (r *readings) receive(reading membership.Reading, suspected map[membership.ID]bool) []membership.ReadingTo {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tracker.Receive(time.Now(), reading, r.version()) {
		return nil
	}
	return r.tracker.PassOn(reading, r.members.Directory(), suspected)
}

// versionInForce passes on the reading that awaited a version, if there is one.
func (r *readings) versionInForce(version uint64) {
	r.members.SendReadings(func(suspected map[membership.ID]bool) []membership.ReadingTo {
		r.mu.Lock()
		defer r.mu.Unlock()
		reading, ok := r.tracker.TakeAwaited(time.Now(), version)
		if !ok {
			return nil
		}
		return r.tracker.PassOn(reading, r.members.Directory(), suspected)
	})
}
