package balancer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/backend"
	"amaranthstile/membership"
)

const (
	// loadHalfLife is the time in which the weight of a reported load halves.
	loadHalfLife = 100 * time.Millisecond

	// warmingLoad is added to the load per slot of an endpoint that is warming up, and floorLoad to that of an ejected
	// endpoint that the floor keeps in use.
	warmingLoad = 0.7
	floorLoad   = 1.0

	// trialInterval and trialShare bound the trial requests that one instance sends to an ejected endpoint.
	trialInterval = time.Second
	trialShare    = 0.02
)

// endpointID identifies an endpoint.
type endpointID struct {
	instance membership.ID
	backend  string
}

func endpointIDOf(c membership.Candidate) endpointID { return endpointID{c.Instance.ID, c.Backend} }

// endpoint is an endpoint in a plan. Its load tracker and its link's breaker outlive the plan.
type endpoint struct {
	membership.Candidate
	extraLoad float64 // added to the load per slot
	load      *loadTracker
	breaker   *sharedBreaker
}

// loadPerSlot returns the estimated load per slot.
func (e *endpoint) loadPerSlot(now int64) float64 {
	return e.load.estimate(now)/float64(e.Slots) + e.extraLoad
}

// hasFreeSlot reports whether the load estimate leaves a slot free for one more request.
func (e *endpoint) hasFreeSlot(now int64) bool { return e.loadPerSlot(now)+1/float64(e.Slots) <= 1 }

// loadTracker estimates the load of one endpoint.
type loadTracker struct {
	inFlight   atomic.Int64 // requests of this instance
	reported   atomic.Int64 // requests running and waiting at the time of the report
	sentSince  atomic.Int64 // requests sent since the report
	reportedAt atomic.Int64 // time of the report, nanoseconds
	lastTrial  atomic.Int64 // time of the last trial, nanoseconds
}

// estimate returns the estimated number of requests at the endpoint: the reported number, which decays over time, plus
// the requests sent since the report. It is at least the number of this instance's requests in flight.
func (l *loadTracker) estimate(now int64) float64 {
	fade := math.Exp2(-float64(now-l.reportedAt.Load()) / float64(loadHalfLife))
	reported := float64(l.reported.Load())*fade + float64(l.sentSince.Load())
	return max(reported, float64(l.inFlight.Load()))
}

func (l *loadTracker) sent() {
	l.inFlight.Add(1)
	l.sentSince.Add(1)
}

// done records the end of a request and the load reported with its response. The reported load still includes this
// request itself, so one is subtracted.
func (l *loadTracker) done(now int64, report string) {
	l.inFlight.Add(-1)
	r, ok := backend.ParseLoad(report)
	if !ok {
		l.sentSince.Store(min(l.sentSince.Load(), max(l.inFlight.Load(), 0)))
		return
	}
	l.reported.Store(int64(max(r.Running+r.Waiting-1, 0)))
	l.sentSince.Store(0)
	l.reportedAt.Store(now)
}

// claimTrial reports whether a trial may be sent now. Of concurrent calls only one returns true.
func (l *loadTracker) claimTrial(now int64) bool {
	last := l.lastTrial.Load()
	return now-last >= int64(trialInterval) && l.lastTrial.CompareAndSwap(last, now)
}

// sharedBreaker is a LinkBreaker that is safe for concurrent use.
type sharedBreaker struct {
	mu          sync.Mutex
	breaker     LinkBreaker // guarded by mu
	open        atomic.Bool // equals !breaker.Usable()
	hasFailures atomic.Bool // breaker is not the zero value
}

func (s *sharedBreaker) allowTrial(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker.AllowTrial(now)
}

func (s *sharedBreaker) record(now time.Time, o LinkOutcome) (changed bool) {
	if o == LinkUnknown || o == LinkAnswered && !s.hasFailures.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.breaker.Record(now, o)
	s.open.Store(!s.breaker.Usable())
	s.hasFailures.Store(s.breaker != LinkBreaker{})
	return changed
}
