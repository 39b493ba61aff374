package balancer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/entry"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// Policy determines how a Selector chooses among the endpoints in use.
type Policy int

// The policies.
const (
	// IdleFirst takes the first endpoint with a free slot, searching from a random one. If none has a free slot, it
	// takes the least loaded endpoint. It is the default.
	IdleFirst Policy = iota
	// TwoChoices takes the less loaded of two random endpoints.
	TwoChoices
	// LeastLoaded takes the least loaded of all endpoints.
	LeastLoaded
	// RoundRobin takes the endpoints in turn.
	RoundRobin
)

// Options are the options of a Selector.
type Options struct {
	// Domain is the failure domain of this instance.
	Domain string
	// Floor returns the floor of a service, from 0 to 1; see ApplyFloor.
	Floor  func(service string) float64
	Policy Policy
	// Now returns the current time.
	Now func() time.Time
	// Rand returns uniform random numbers. It must be safe for concurrent use.
	Rand func() uint64
	// LinkChanged is called when a link goes out of use or returns to use. It is optional.
	LinkChanged func(instance membership.ID, usable bool)
}

// Selector selects endpoints by a Policy. It implements entry.Selector and is safe for concurrent use.
type Selector struct {
	options  Options
	services sync.Map // *serviceState by name
	breakers sync.Map // *sharedBreaker by membership.ID
	stats    counters
}

type counters struct {
	local, remote, trials, linkTrials, linksOut, noEndpoint atomic.Uint64
}

// Stats counts selections.
type Stats struct {
	// Local and Remote count the endpoints selected in the local and in other failure domains.
	Local, Remote uint64
	// Trials counts requests to ejected endpoints, and LinkTrials counts requests over links out of use.
	Trials, LinkTrials uint64
	// LinksOut counts how often a link went out of use.
	LinksOut uint64
	// NoEndpoint counts queries for which no endpoint was left.
	NoEndpoint uint64
}

// New returns a Selector.
func New(o Options) *Selector {
	if o.LinkChanged == nil {
		o.LinkChanged = func(membership.ID, bool) {}
	}
	return &Selector{options: o}
}

// Stats returns the counts so far.
func (s *Selector) Stats() Stats {
	c := &s.stats
	return Stats{
		Local: c.local.Load(), Remote: c.remote.Load(), Trials: c.trials.Load(),
		LinkTrials: c.linkTrials.Load(), LinksOut: c.linksOut.Load(), NoEndpoint: c.noEndpoint.Load(),
	}
}

// Select implements entry.Selector.
func (s *Selector) Select(q entry.Query) (membership.Candidate, bool) {
	service, p := s.planFor(q.Directory, q.Service)
	now := s.options.Now()
	e := s.pickTrial(p, q, now)
	if e == nil {
		e = s.pick(service, p, q, now.UnixNano())
	}
	if e == nil {
		s.stats.noEndpoint.Add(1)
		return membership.Candidate{}, false
	}
	e.load.sent()
	return e.Candidate, true
}

// pickTrial returns an ejected endpoint, or one behind a link out of use, for the first attempt of a few repeatable
// requests.
func (s *Selector) pickTrial(p *plan, q entry.Query, now time.Time) *endpoint {
	if !q.Repeatable || len(q.Tried) > 0 {
		return nil
	}
	if len(p.trials) > 0 && s.chance(trialShare) {
		e := p.trials[s.randomIndex(len(p.trials))]
		if !e.breaker.open.Load() && e.load.claimTrial(now.UnixNano()) {
			s.stats.trials.Add(1)
			return e
		}
	}
	if len(p.all) == 0 {
		return nil
	}
	e := p.all[s.randomIndex(len(p.all))]
	if e.breaker.open.Load() && e.breaker.allowTrial(now) {
		s.stats.linkTrials.Add(1)
		return e
	}
	return nil
}

// pick returns an endpoint of the local failure domain if that has a free slot, and otherwise any endpoint in use.
func (s *Selector) pick(service *serviceState, p *plan, q entry.Query, now int64) *endpoint {
	if len(p.local) > 0 && len(p.local) < len(p.all) {
		e := s.applyPolicy(service, p.local, q, now, false)
		if e != nil && e.hasFreeSlot(now) {
			s.stats.local.Add(1)
			return e
		}
	}
	e := s.applyPolicy(service, p.all, q, now, false)
	if e == nil {
		e = s.applyPolicy(service, p.all, q, now, true)
	}
	switch {
	case e == nil:
	case e.Instance.Domain == s.options.Domain:
		s.stats.local.Add(1)
	default:
		s.stats.remote.Add(1)
	}
	return e
}

// applyPolicy selects from a list by the policy. With anyLink, it also uses links that are out of use.
func (s *Selector) applyPolicy(
	service *serviceState, list []*endpoint, q entry.Query, now int64, anyLink bool,
) *endpoint {
	if len(list) == 0 {
		return nil
	}
	w := endpointSearch{list: list, tried: q.Tried, anyLink: anyLink}
	switch s.options.Policy {
	case RoundRobin:
		return w.firstUsable(int(service.rotation.Add(1) % uint64(len(list))))
	case TwoChoices:
		return s.lessLoadedOfTwo(w, now)
	case LeastLoaded:
		return w.leastLoaded(s.randomIndex(len(list)), now)
	}
	if e := w.firstIdle(s.randomIndex(len(list)), now); e != nil {
		return e
	}
	return w.leastLoaded(s.randomIndex(len(list)), now)
}

// lessLoadedOfTwo returns the less loaded of two random endpoints.
func (s *Selector) lessLoadedOfTwo(w endpointSearch, now int64) *endpoint {
	a := w.firstUsable(s.randomIndex(len(w.list)))
	b := w.firstUsable(s.randomIndex(len(w.list)))
	if a == nil || b == nil || a.loadPerSlot(now) <= b.loadPerSlot(now) {
		return a
	}
	return b
}

// randomIndex returns a random number in [0, n).
func (s *Selector) randomIndex(n int) int {
	return int((s.options.Rand() >> 32) * uint64(n) >> 32)
}

// chance returns true with probability p.
func (s *Selector) chance(p float64) bool {
	return float64(s.options.Rand()>>11)/(1<<53) < p
}

// endpointSearch searches a list for usable endpoints: those that the request has not tried yet and whose link is in
// use, unless anyLink is set.
type endpointSearch struct {
	list    []*endpoint
	tried   []membership.Candidate
	anyLink bool
}

func (w endpointSearch) usable(e *endpoint) bool {
	if e.breaker.open.Load() && !w.anyLink {
		return false
	}
	for _, c := range w.tried {
		if c.Instance.ID == e.Instance.ID && c.Backend == e.Backend {
			return false
		}
	}
	return true
}

// firstUsable returns the first usable endpoint, starting at index from.
func (w endpointSearch) firstUsable(from int) *endpoint {
	for i := range w.list {
		if e := w.list[(from+i)%len(w.list)]; w.usable(e) {
			return e
		}
	}
	return nil
}

// firstIdle returns the first usable endpoint with a free slot, starting at index from.
func (w endpointSearch) firstIdle(from int, now int64) *endpoint {
	for i := range w.list {
		if e := w.list[(from+i)%len(w.list)]; e.hasFreeSlot(now) && w.usable(e) {
			return e
		}
	}
	return nil
}

// leastLoaded returns the usable endpoint with the lowest load per slot. Of equal ones it returns the first, starting
// at index from.
func (w endpointSearch) leastLoaded(from int, now int64) *endpoint {
	var best *endpoint
	bestLoad := 0.0
	for i := range w.list {
		e := w.list[(from+i)%len(w.list)]
		if load := e.loadPerSlot(now); (best == nil || load < bestLoad) && w.usable(e) {
			best, bestLoad = e, load
		}
	}
	return best
}

// Done implements entry.Selector.
func (s *Selector) Done(c membership.Candidate, r entry.AttemptResult) {
	now := s.options.Now()
	if v, ok := s.services.Load(c.Service); ok {
		if e := v.(*serviceState).current.Load().byID[endpointIDOf(c)]; e != nil {
			e.load.done(now.UnixNano(), r.Load)
		}
	}
	s.recordLink(now, c, linkOutcome(r))
}

// PathResponded implements entry.Selector.
func (s *Selector) PathResponded(c membership.Candidate) {
	s.recordLink(s.options.Now(), c, LinkAnswered)
}

// recordLink records what is known about the link to the instance of an endpoint.
func (s *Selector) recordLink(now time.Time, c membership.Candidate, o LinkOutcome) {
	breaker := s.linkBreaker(c.Instance.ID)
	if breaker.record(now, o) {
		usable := !breaker.open.Load()
		if !usable {
			s.stats.linksOut.Add(1)
		}
		s.options.LinkChanged(c.Instance.ID, usable)
	}
}

// linkOutcome returns what the outcome of an attempt says about its link.
func linkOutcome(r entry.AttemptResult) LinkOutcome {
	switch {
	case errors.Is(r.Err, context.Canceled):
		return LinkUnknown
	case result.Is(r.Err, result.LinkUnreachable), result.Is(r.Err, result.LinkBroken):
		if errors.Is(r.Err, context.DeadlineExceeded) {
			return LinkTimeout
		}
		return LinkFailed
	case result.Is(r.Err, result.NoStanding), result.Is(r.Err, result.TryGivenUp):
		return LinkUnknown
	}
	return LinkAnswered
}
