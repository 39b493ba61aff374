package choice

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

// Policy is a way of choosing among endpoints in use.
type Policy int

// The policies.
const (
	// IdleFirst takes an endpoint with a free slot, starting at a random one, and without one the better of two
	// random ones. It is the default.
	IdleFirst Policy = iota
	// TwoChoices takes the less loaded of two random endpoints.
	TwoChoices
	// LeastLoaded takes the least loaded of all endpoints.
	LeastLoaded
	// RoundRobin takes them in turn.
	RoundRobin
)

// Options are the options of a Selector.
type Options struct {
	// Domain is the own failure domain.
	Domain string
	// Floor returns the floor of a service, from 0 to 1.
	Floor  func(service string) float64
	Policy Policy
	// Now returns the time.
	Now func() time.Time
	// Rand returns uniform random numbers; many requests call it at once.
	Rand func() uint64
	// LinkChanged is told when a link goes out of use or comes back; default nothing.
	LinkChanged func(instance membership.ID, usable bool)
}

// Selector implements entry.Selector. It is safe for concurrent use.
type Selector struct {
	options  Options
	services sync.Map // *service by name
	links    sync.Map // *sharedLink by membership.ID
	stats    counters
}

type counters struct {
	local, remote, trials, linkTrials, linksOut, none atomic.Uint64
}

// Stats counts choices.
type Stats struct {
	// Local and Remote are endpoints chosen in the own and in other failure domains.
	Local, Remote uint64
	// Trials are requests to ejected endpoints, LinkTrials those over links out of use.
	Trials, LinkTrials uint64
	// LinksOut counts how often a link went out of use.
	LinksOut uint64
	// NoEndpoint counts queries for which there was no endpoint.
	NoEndpoint uint64
}

// New returns a selector.
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
		LinkTrials: c.linkTrials.Load(), LinksOut: c.linksOut.Load(), NoEndpoint: c.none.Load(),
	}
}

// Select implements entry.Selector.
func (s *Selector) Select(q entry.Query) (membership.Candidate, bool) {
	held, p := s.plan(q.Directory, q.Service)
	now := s.options.Now()
	n := s.trial(p, q, now)
	if n == nil {
		n = s.pick(held, p, q, now.UnixNano())
	}
	if n == nil {
		s.stats.none.Add(1)
		return membership.Candidate{}, false
	}
	n.load.sent()
	return n.Candidate, true
}

// trial returns an ejected endpoint, or one behind a link out of use, for a few repeatable requests on their
// first try.
func (s *Selector) trial(p *plan, q entry.Query, now time.Time) *node {
	if !q.Repeatable || len(q.Tried) > 0 {
		return nil
	}
	if len(p.trials) > 0 && s.chance(trialShare) {
		n := p.trials[s.random(len(p.trials))]
		if !n.link.out.Load() && n.load.mayTry(now.UnixNano()) {
			s.stats.trials.Add(1)
			return n
		}
	}
	if len(p.all) == 0 {
		return nil
	}
	n := p.all[s.random(len(p.all))]
	if n.link.out.Load() && n.link.try(now) {
		s.stats.linkTrials.Add(1)
		return n
	}
	return nil
}

// pick prefers the own failure domain while it has a free slot.
func (s *Selector) pick(held *service, p *plan, q entry.Query, now int64) *node {
	if len(p.local) > 0 && len(p.local) < len(p.all) {
		n := s.choose(held, p.local, q, now, false)
		if n != nil && n.hasRoom(now) {
			s.stats.local.Add(1)
			return n
		}
	}
	n := s.choose(held, p.all, q, now, false)
	if n == nil {
		n = s.choose(held, p.all, q, now, true)
	}
	switch {
	case n == nil:
	case n.Instance.Domain == s.options.Domain:
		s.stats.local.Add(1)
	default:
		s.stats.remote.Add(1)
	}
	return n
}

// choose applies the policy to a list; with anyLink links out of use are taken too.
func (s *Selector) choose(held *service, list []*node, q entry.Query, now int64, anyLink bool) *node {
	if len(list) == 0 {
		return nil
	}
	w := walk{list: list, tried: q.Tried, anyLink: anyLink}
	switch s.options.Policy {
	case RoundRobin:
		return w.next(int(held.turn.Add(1) % uint64(len(list))))
	case TwoChoices:
		return s.better(w, now)
	case LeastLoaded:
		return w.least(s.random(len(list)), now)
	}
	if n := w.idle(s.random(len(list)), now); n != nil {
		return n
	}
	return w.least(s.random(len(list)), now)
}

// better returns the less loaded of two random endpoints.
func (s *Selector) better(w walk, now int64) *node {
	a := w.next(s.random(len(w.list)))
	b := w.next(s.random(len(w.list)))
	if a == nil || b == nil || a.relative(now) <= b.relative(now) {
		return a
	}
	return b
}

// random returns a number from 0 to below n.
func (s *Selector) random(n int) int {
	return int((s.options.Rand() >> 32) * uint64(n) >> 32)
}

func (s *Selector) chance(p float64) bool {
	return float64(s.options.Rand()>>11)/(1<<53) < p
}

// walk goes over a list of endpoints and leaves out those that can't be used.
type walk struct {
	list    []*node
	tried   []membership.Candidate
	anyLink bool
}

func (w walk) usable(n *node) bool {
	if n.link.out.Load() && !w.anyLink {
		return false
	}
	for _, c := range w.tried {
		if c.Instance.ID == n.Instance.ID && c.Backend == n.Backend {
			return false
		}
	}
	return true
}

// next returns the first usable endpoint from an index on.
func (w walk) next(from int) *node {
	for i := range w.list {
		if n := w.list[(from+i)%len(w.list)]; w.usable(n) {
			return n
		}
	}
	return nil
}

// idle returns the first usable endpoint with a free slot from an index on.
func (w walk) idle(from int, now int64) *node {
	for i := range w.list {
		if n := w.list[(from+i)%len(w.list)]; n.hasRoom(now) && w.usable(n) {
			return n
		}
	}
	return nil
}

// least returns the usable endpoint with the least load from an index on.
func (w walk) least(from int, now int64) *node {
	var best *node
	bestLoad := 0.0
	for i := range w.list {
		n := w.list[(from+i)%len(w.list)]
		if r := n.relative(now); (best == nil || r < bestLoad) && w.usable(n) {
			best, bestLoad = n, r
		}
	}
	return best
}

// Done implements entry.Selector.
func (s *Selector) Done(c membership.Candidate, t entry.Trial) {
	now := s.options.Now()
	if v, ok := s.services.Load(c.Service); ok {
		if n := v.(*service).current.Load().byKey[keyOf(c)]; n != nil {
			n.load.done(now.UnixNano(), t.Load)
		}
	}
	l := s.link(c.Instance.ID)
	if l.note(now, evidence(t)) {
		usable := !l.out.Load()
		if !usable {
			s.stats.linksOut.Add(1)
		}
		s.options.LinkChanged(c.Instance.ID, usable)
	}
}

// evidence is what a try says of the link that it took.
func evidence(t entry.Trial) LinkOutcome {
	switch {
	case errors.Is(t.Err, context.Canceled):
		return LinkUnknown
	case result.Is(t.Err, result.LinkUnreachable), result.Is(t.Err, result.LinkBroken):
		if errors.Is(t.Err, context.DeadlineExceeded) {
			return LinkTimeout
		}
		return LinkFailed
	case result.Is(t.Err, result.NoStanding), result.Is(t.Err, result.TryGivenUp):
		return LinkUnknown
	}
	return LinkAnswered
}
