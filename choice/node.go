package choice

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/backend"
	"amaranthstile/membership"
)

const (
	// loadHalfLife is the time in which a reported load loses half of its say.
	loadHalfLife = 100 * time.Millisecond

	// warmingLoad and keptLoad are added to the load for each slot of endpoints that are warming up, or
	// ejected and kept by the floor.
	warmingLoad = 0.7
	keptLoad    = 1.0

	// trialEvery and trialShare bound the trial requests of one instance at an ejected endpoint.
	trialEvery = time.Second
	trialShare = 0.02
)

// key names an endpoint.
type key struct {
	instance membership.ID
	backend  string
}

func keyOf(c membership.Candidate) key { return key{c.Instance.ID, c.Backend} }

// node is an endpoint in a plan. The load and the link outlive the plan.
type node struct {
	membership.Candidate
	extra float64 // load for each slot that is added
	load  *load
	link  *sharedLink
}

// relative is the estimated load for each slot.
func (n *node) relative(now int64) float64 {
	return n.load.estimate(now)/float64(n.Slots) + n.extra
}

// hasRoom reports whether a slot is taken for free.
func (n *node) hasRoom(now int64) bool { return n.relative(now)+1/float64(n.Slots) <= 1 }

// load is what is known of an endpoint's load.
type load struct {
	inFlight atomic.Int64
	reported atomic.Int64 // requests running and waiting at the time of the report
	since    atomic.Int64 // requests sent since the report
	at       atomic.Int64 // time of the report, nanoseconds
	trial    atomic.Int64 // time of the last trial, nanoseconds
}

// estimate is the number of requests at the endpoint: what it reported, fading, and what was sent since; at least
// the own ones in flight.
func (l *load) estimate(now int64) float64 {
	fade := math.Exp2(-float64(now-l.at.Load()) / float64(loadHalfLife))
	reported := float64(l.reported.Load())*fade + float64(l.since.Load())
	return max(reported, float64(l.inFlight.Load()))
}

func (l *load) sent() {
	l.inFlight.Add(1)
	l.since.Add(1)
}

// done takes in the load on an answer; the answered request itself was still counted in it.
func (l *load) done(now int64, report string) {
	l.inFlight.Add(-1)
	r, ok := backend.ParseLoad(report)
	if !ok {
		l.since.Store(min(l.since.Load(), max(l.inFlight.Load(), 0)))
		return
	}
	l.reported.Store(int64(max(r.Running+r.Waiting-1, 0)))
	l.since.Store(0)
	l.at.Store(now)
}

// mayTry claims the trial of this moment.
func (l *load) mayTry(now int64) bool {
	last := l.trial.Load()
	return now-last >= int64(trialEvery) && l.trial.CompareAndSwap(last, now)
}

// sharedLink is a LinkBreaker that many requests use at once.
type sharedLink struct {
	mu      sync.Mutex
	link    LinkBreaker // guarded by mu
	out     atomic.Bool // equals !link.Usable()
	suspect atomic.Bool // link is not the zero value
}

func (s *sharedLink) try(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link.AllowTrial(now)
}

func (s *sharedLink) note(now time.Time, e LinkOutcome) (changed bool) {
	if e == LinkUnknown || e == LinkAnswered && !s.suspect.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.link.Record(now, e)
	s.out.Store(!s.link.Usable())
	s.suspect.Store(s.link != LinkBreaker{})
	return changed
}
