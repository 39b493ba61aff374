package balancer

import (
	"sync"
	"time"

	"amaranthstile/backend"
	"amaranthstile/entry"
	"amaranthstile/membership"
	"amaranthstile/result"
)

const (
	// All costs are in units of one typical request.

	// remoteDomainCost is the additional cost of an endpoint in another failure domain. It is small, so that requests
	// go to another domain as soon as they would have to wait in the local one.
	remoteDomainCost = 0.8
	// busyCost is multiplied by the number of requests per slot. Of two endpoints with a free slot, the less busy one
	// is chosen, which also spreads requests.
	busyCost = 0.4
	// warmingCost is the cost of a cold start. Where a cold backend server tolerates few requests, coldCost is added: a free
	// slot in another failure domain, or a short wait, is then preferred.
	warmingCost = 0.5
	coldCost    = 1.0
	// rankCost is multiplied by the endpoint's rank in its failure domain. All instances of the domain therefore prefer
	// the same endpoints while these have free slots. Each of these endpoints is exercised many times a second, and few
	// requests are the first to discover a gray failure.
	rankCost = 0.12
	// randomCost spreads the choices of instances that have the same view. spreadCost spreads the requests that may go to
	// any endpoint of the domain, whatever its rank, and exercise endpoints which would otherwise get none.
	randomCost = 0.05
	spreadCost = 0.5
	// unservedWeight is the weight of one request in the moving average of a service's share of unserved requests.
	// Above spreadUnservedShare, this instance spreads all requests of the service: while some of the endpoints fail
	// requests, the others must not stay idle.
	unservedWeight      = 0.15
	spreadUnservedShare = 0.08
	// shedCost is added for shedPenaltyTime after the backend server shed a request. Other endpoints are then
	// preferred, but the endpoint stays in use if all of them shed requests occasionally.
	shedCost        = 1.5
	shedPenaltyTime = 400 * time.Millisecond
	// trialBonus attracts repeatable requests to a half-open endpoint, whose cooldown is over and which has not
	// responded since. trialPenalty keeps all other requests away from it. Some request has to test the endpoint, and
	// only a repeatable one can be sent elsewhere afterwards.
	trialBonus   = 1.0
	trialPenalty = 2.0
	// halfOpenTime is how long an endpoint stays half-open after its cooldown if this instance sees no response from it.
	halfOpenTime = 3 * time.Second
	// loadMaxAge is how long a reported load is used; it is about the duration of one typical request.
	loadMaxAge = 250 * time.Millisecond
	// initialLinkBackoff is how long an unreachable instance is excluded at first. It doubles with each failure, up to
	// maxLinkBackoff.
	initialLinkBackoff = 300 * time.Millisecond
	maxLinkBackoff     = 4 * time.Second
	// maxLimitCooldown bounds the cooldown of an endpoint that is limited by its backend server. The cooldown doubles with
	// each refusal in a row, so that many instances do not ask in vain for the few requests that the limit allows; a lifted
	// limit is noticed after maxLimitCooldown at the latest.
	maxLimitCooldown  = 5 * time.Second
	maxLimitDoublings = 8
	// drainCooldown is how long an endpoint is excluded after a refusal as draining, unknown or evacuated. It bridges the
	// time until this instance learns of the change.
	drainCooldown = 2 * time.Second
)

// CostSelectorOptions are the options of a CostSelector. All fields are required unless their comment names a default.
type CostSelectorOptions struct {
	// Domain is the failure domain of this instance.
	Domain string
	// Now returns the current time.
	Now func() time.Time
	// Rand returns uniform random numbers in [0, 1). It must be safe for concurrent use.
	Rand func() float64
	// Evacuated reports whether a failure domain is evacuated; none of its endpoints is selected then. Default: none is.
	Evacuated func(domain string) bool
	// BoundsCold reports whether cold backend servers of a service tolerate few requests. Default: they do not.
	BoundsCold func(service string) bool
}

// CostSelector selects the endpoint with the lowest expected cost. The cost includes the wait for a slot, which is
// estimated from this instance's requests in flight and from the last reported load, the latency to another failure
// domain, and a cold start. It excludes endpoints in a cooldown after a refusal of their exit side, and unreachable
// instances for the time of a backoff. It implements entry.Selector, is safe for concurrent use, and suits instances
// that each see only few of the requests for an endpoint.
type CostSelector struct {
	options CostSelectorOptions

	createdAt time.Time

	mu        sync.Mutex // guards the fields below
	endpoints map[endpointKey]*endpointState
	links     map[membership.ID]*linkState
	services  map[string]*serviceView
	lastSweep time.Time
}

// serviceView is what this instance knows about a service.
type serviceView struct {
	ranking       ranking
	arrivals      arrivals
	unservedShare float64 // moving average
}

type endpointKey struct {
	instance membership.ID
	backend  string
}

// endpointState is what this instance knows about an endpoint.
type endpointState struct {
	inFlight      int
	load          backend.Load
	loadAt        time.Time
	cooldownUntil time.Time
	needsTrial    bool // no successful response since its last ejection
	shedAt        time.Time
	usedAt        time.Time
	limitRefusals int // consecutive refusals because of the backend server's limit
}

// recordLimited starts the cooldown after a refusal because of the backend server's limit, which names the delay after
// which to retry.
func (e *endpointState) recordLimited(now time.Time, retryAfter time.Duration) {
	cooldown := min(retryAfter<<min(e.limitRefusals, maxLimitDoublings), maxLimitCooldown)
	e.limitRefusals++
	e.cooldownUntil = now.Add(max(cooldown, retryAfter))
}

// halfOpen reports whether the endpoint still needs a successful trial and its cooldown is not over for longer than
// halfOpenTime. It must be called only after the cooldown is over.
func (e *endpointState) halfOpen(now time.Time) bool {
	return e.needsTrial && now.Sub(e.cooldownUntil) < halfOpenTime
}

// linkState is the backoff of the link to an unreachable instance.
type linkState struct {
	failures int // consecutive
	retryAt  time.Time
}

// NewCostSelector returns a CostSelector without any observations.
func NewCostSelector(o CostSelectorOptions) *CostSelector {
	if o.Evacuated == nil {
		o.Evacuated = func(string) bool { return false }
	}
	if o.BoundsCold == nil {
		o.BoundsCold = func(string) bool { return false }
	}
	return &CostSelector{
		options: o, createdAt: o.Now(),
		endpoints: make(map[endpointKey]*endpointState), links: make(map[membership.ID]*linkState),
		services: make(map[string]*serviceView),
	}
}

// Select implements entry.Selector.
func (s *CostSelector) Select(q entry.Query) (membership.Candidate, bool) {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	var best membership.Candidate
	var bestCost float64
	found := false
	list := q.Directory.Endpoints(q.Service)
	service := s.viewOf(q.Service)
	if !service.ranking.isFor(list) {
		service.ranking = newRanking(list)
	}
	if len(q.Tried) == 0 {
		service.arrivals.record(now, q.Repeatable)
	}
	spread := s.shouldSpread(service, q)
	for i, c := range list {
		if !s.eligible(now, q, c) {
			continue
		}
		cost := s.cost(now, c) + s.halfOpenCost(now, q, c)
		if spread {
			cost += spreadCost * s.options.Rand()
		} else {
			cost += rankCost * service.ranking.ranks[i]
		}
		if !found || cost < bestCost {
			best, bestCost, found = c, cost, true
		}
	}
	if found {
		e := s.stateOf(best)
		e.inFlight++
		e.usedAt = now
	}
	return best, found
}

// eligible reports whether an endpoint may be selected for a request.
func (s *CostSelector) eligible(now time.Time, q entry.Query, c membership.Candidate) bool {
	return !c.Instance.Leaving && c.State != membership.Draining && !containsEndpoint(q.Tried, c) &&
		!s.options.Evacuated(c.Instance.Domain) && !s.coolingDown(now, c)
}

// halfOpenCost returns the additional cost of a half-open endpoint. It is negative for requests that suit as a trial.
func (s *CostSelector) halfOpenCost(now time.Time, q entry.Query, c membership.Candidate) float64 {
	e := s.endpoints[endpointKey{c.Instance.ID, c.Backend}]
	switch {
	case e == nil || !e.halfOpen(now):
		return 0
	case q.Repeatable && !q.ReachedBackend:
		return -trialBonus
	}
	return trialPenalty
}

func containsEndpoint(list []membership.Candidate, c membership.Candidate) bool {
	for _, x := range list {
		if x.Instance.ID == c.Instance.ID && x.Backend == c.Backend {
			return true
		}
	}
	return false
}

// coolingDown reports whether an endpoint is in a cooldown or the link to its instance in a backoff.
func (s *CostSelector) coolingDown(now time.Time, c membership.Candidate) bool {
	if l := s.links[c.Instance.ID]; l != nil && now.Before(l.retryAt) {
		return true
	}
	e := s.endpoints[endpointKey{c.Instance.ID, c.Backend}]
	return e != nil && now.Before(e.cooldownUntil)
}

// cost returns the expected cost of an endpoint without the costs that depend on the request.
func (s *CostSelector) cost(now time.Time, c membership.Candidate) float64 {
	cost := randomCost * s.options.Rand()
	slots := float64(max(c.Slots, 1))
	if e := s.endpoints[endpointKey{c.Instance.ID, c.Backend}]; e != nil {
		busy := float64(e.inFlight)
		if age := now.Sub(e.loadAt); age < loadMaxAge {
			reported := float64(e.load.Running+e.load.Waiting) * (1 - float64(age)/float64(loadMaxAge))
			busy = max(busy, reported)
		}
		if now.Sub(e.shedAt) < shedPenaltyTime {
			cost += shedCost
		}
		cost += busyCost*busy/slots + max(busy+1-slots, 0)/slots*2
	}
	if c.Instance.Domain != s.options.Domain {
		cost += remoteDomainCost
	}
	if c.State == membership.Warming {
		cost += warmingCost
		if s.options.BoundsCold(c.Service) {
			cost += coldCost
		}
	}
	return cost
}

// stateOf returns the state of an endpoint and creates it if necessary.
func (s *CostSelector) stateOf(c membership.Candidate) *endpointState {
	key := endpointKey{c.Instance.ID, c.Backend}
	e := s.endpoints[key]
	if e == nil {
		e = &endpointState{}
		s.endpoints[key] = e
	}
	return e
}

// viewOf returns what is known of a service and creates it if necessary.
func (s *CostSelector) viewOf(name string) *serviceView {
	v := s.services[name]
	if v == nil {
		v = &serviceView{arrivals: arrivals{since: s.createdAt, at: s.createdAt}}
		s.services[name] = v
	}
	return v
}

// RequestDone records whether a request of a service was served in the end, after all its attempts.
func (s *CostSelector) RequestDone(service string, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.viewOf(service)
	v.unservedShare *= 1 - unservedWeight
	if !served {
		v.unservedShare += unservedWeight
	}
}

// Done implements entry.Selector.
func (s *CostSelector) Done(c membership.Candidate, r entry.AttemptResult) {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.stateOf(c)
	e.inFlight = max(e.inFlight-1, 0)
	if load, ok := backend.ParseLoad(r.Load); ok {
		e.load, e.loadAt = load, now
	}
	e.needsTrial = e.needsTrial && r.Err != nil
	if r.Err == nil {
		e.limitRefusals = 0
	}
	switch result.CodeOf(r.Err) {
	case result.LinkUnreachable, result.LinkBroken:
		s.recordUnreachable(now, c.Instance.ID)
		return
	case result.BackendEjected:
		e.cooldownUntil, e.needsTrial = now.Add(result.RetryAfterOf(r.Err)), true
	case result.BackendLimited:
		e.recordLimited(now, result.RetryAfterOf(r.Err))
	case result.BackendCold:
		e.cooldownUntil = now.Add(result.RetryAfterOf(r.Err))
	case result.BackendDraining, result.BackendUnknown, result.ShuttingDown, result.DomainEvacuated:
		e.cooldownUntil = now.Add(drainCooldown)
	case result.BackendShed:
		e.shedAt = now
	case result.TryGivenUp:
		// A later attempt was faster. This does not show that the instance is reachable, so a backoff of its link
		// stays.
		e.shedAt = now
		return
	case result.BackendBusy, result.QueueFull:
		e.load, e.loadAt = backend.Load{Running: max(c.Slots, 1), Slots: c.Slots}, now
	}
	delete(s.links, c.Instance.ID)
}

// PathResponded implements entry.Selector. It ends the backoff of the link.
func (s *CostSelector) PathResponded(c membership.Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, c.Instance.ID)
}

// recordUnreachable starts or extends the backoff of the link to an instance.
func (s *CostSelector) recordUnreachable(now time.Time, id membership.ID) {
	l := s.links[id]
	if l == nil {
		l = &linkState{}
		s.links[id] = l
	}
	backoff := min(initialLinkBackoff<<min(l.failures, 4), maxLinkBackoff)
	l.failures++
	l.retryAt = now.Add(backoff)
}

const (
	// sweepInterval and forgetAfter bound the memory for endpoints, links and services that are gone.
	sweepInterval = 30 * time.Second
	forgetAfter   = time.Minute
)

// sweep removes the state of endpoints, links and services that have not been used for forgetAfter.
func (s *CostSelector) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	for key, e := range s.endpoints {
		if e.inFlight == 0 && now.Sub(e.usedAt) > forgetAfter {
			delete(s.endpoints, key)
		}
	}
	for id, l := range s.links {
		if now.Sub(l.retryAt) > forgetAfter {
			delete(s.links, id)
		}
	}
	for name, v := range s.services {
		if now.Sub(v.arrivals.at) > forgetAfter {
			delete(s.services, name)
		}
	}
}
