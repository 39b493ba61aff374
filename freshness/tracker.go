package freshness

import (
	"math/rand/v2"
	"time"

	"amaranthstile/membership"
)

const (
	// patienceShare is the part of the deadline for a change that the latest reading may be old. The rest is for the read
	// itself, and for another one if that fails.
	patienceShare = 0.4
	// maxClockSkew is how far the time of day of another instance may be ahead. A reading from a later time is not used.
	maxClockSkew = 200 * time.Millisecond
)

// Patience returns how old the latest known reading may be before an instance reads the store itself, given the time in
// which a change has to be in force.
func Patience(deadline time.Duration) time.Duration {
	return time.Duration(patienceShare * float64(deadline))
}

// Tracker is what one instance knows of readings. It is not safe for concurrent use.
type Tracker struct {
	options Options
	// last is when the latest known reading was made, by this instance's clock.
	last time.Time
	// awaited is the latest reading that found a later version than the one in force here. It counts once that version is
	// in force.
	awaited *membership.Reading
	// ownAt is when this instance began its own latest read.
	ownAt    time.Time
	failures int
	retryAt  time.Time // of the next read, while one is in flight or after one that failed
}

// Options are the options of a Tracker. All fields are required.
type Options struct {
	Self   membership.ID
	Domain string
	// Protocol is the version of the protocol between instances from which an instance takes part.
	Protocol uint8
	// Rand is the source of all random choices.
	Rand *rand.Rand
}

// NewTracker returns a tracker that knows of no reading.
func NewTracker(o Options) *Tracker { return &Tracker{options: o} }

// Last returns when the latest known reading was made, or when the first one was awaited from; before, the zero time.
func (t *Tracker) Last() time.Time { return t.last }

// Start lets readings become overdue from now on, unless one is known: the first configuration of a process may come from
// another instance.
func (t *Tracker) Start(now time.Time) {
	if t.last.IsZero() {
		t.last = now
	}
}

// Succeeded records a reading that this instance requested at a time.
func (t *Tracker) Succeeded(requestedAt time.Time) {
	if requestedAt.After(t.ownAt) {
		t.ownAt = requestedAt
	}
	t.record(requestedAt)
}

// Failed records that a read of this instance failed. The next one waits for a backoff with jitter, which doubles from
// half of Patience up to the deadline.
func (t *Tracker) Failed(now time.Time, deadline time.Duration) {
	backoff := min(Patience(deadline)/2<<min(t.failures, maxDoublings), deadline)
	t.failures++
	t.retryAt = now.Add(backoff/2 + time.Duration(t.options.Rand.Int64N(int64(backoff/2)+1)))
}

// maxDoublings bounds the exponent of the backoff.
const maxDoublings = 16

// BeginTurn reports whether this instance reads the store in a turn that falls to it, and if so, counts the read as begun.
// Reads of one instance are at least Patience apart unless they fail, however many turns fall to it: all of them do if it
// takes the others for gone.
func (t *Tracker) BeginTurn(now time.Time, deadline time.Duration) bool {
	if now.Sub(t.ownAt) < Patience(deadline) || now.Before(t.retryAt) {
		return false
	}
	t.begin(now, deadline)
	return true
}

// BeginOverdue reports whether this instance reads the store because it knows of no recent reading, and if so, counts the
// read as begun.
func (t *Tracker) BeginOverdue(now time.Time, deadline time.Duration) bool {
	if now.Before(t.OverdueAt(deadline)) {
		return false
	}
	t.begin(now, deadline)
	return true
}

func (t *Tracker) begin(now time.Time, deadline time.Duration) {
	t.ownAt = now
	t.retryAt = now.Add(Patience(deadline))
}

// OverdueAt returns when this instance reads the store itself unless it learns of a reading before.
func (t *Tracker) OverdueAt(deadline time.Duration) time.Time {
	at := t.last.Add(Patience(deadline))
	if at.Before(t.retryAt) {
		return t.retryAt
	}
	return at
}

// Receive records a reading of another instance, given the version in force here. It reports whether the reading is news
// that is to be passed on.
func (t *Tracker) Receive(now time.Time, r membership.Reading, version uint64) bool {
	// The monotonic clock stands while a machine is suspended, so the age of a reading follows from the time of day.
	age := now.Round(0).Sub(r.At.Round(0))
	if age < -maxClockSkew {
		return false
	}
	if r.Revision > version {
		if t.awaited == nil || !r.At.Before(t.awaited.At) {
			t.awaited = &r
		}
		return false
	}
	return t.record(now.Add(-max(age, 0)))
}

// TakeAwaited returns the reading that counts now that a version is in force, if there is one.
func (t *Tracker) TakeAwaited(now time.Time, version uint64) (membership.Reading, bool) {
	if t.awaited == nil || t.awaited.Revision > version {
		return membership.Reading{}, false
	}
	r := *t.awaited
	t.awaited = nil
	return r, t.Receive(now, r, version)
}

// record records a reading and reports whether it is the latest one.
func (t *Tracker) record(at time.Time) bool {
	if !at.After(t.last) {
		return false
	}
	t.last = at
	t.failures, t.retryAt = 0, time.Time{}
	return true
}
