package sidecar

import (
	"sync"
	"time"

	"amaranthstile/freshness"
	"amaranthstile/gossip"
	"amaranthstile/link"
	"amaranthstile/membership"
)

// readings keeps track of the readings of the store that this instance and others make, and passes them on. It is safe
// for concurrent use.
type readings struct {
	members *gossip.Members
	version func() uint64 // in force at this instance

	mu      sync.Mutex
	tracker *freshness.Tracker // guarded by mu
}

func newReadings(m *gossip.Members, self membership.Record, version func() uint64) *readings {
	r := &readings{
		members: m, version: version,
		tracker: freshness.NewTracker(freshness.Options{
			Self: self.ID, Domain: self.Domain, Protocol: link.ProtocolReadings, Rand: gossip.NewRand(),
		}),
	}
	m.OnReading = r.receive
	return r
}

// begin lets readings become overdue from now on.
func (r *readings) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Begin(time.Now())
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

// overdueAt returns when this instance has to read the store itself unless it learns of a reading before.
func (r *readings) overdueAt(deadline time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.OverdueAt(deadline)
}

// spread sends a reading that this instance made to all others.
func (r *readings) spread(requestedAt time.Time) {
	reading := membership.Reading{At: requestedAt, Revision: r.version()}
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
