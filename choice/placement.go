package choice

import (
	"sync"
	"time"

	"amaranthstile/backend"
	"amaranthstile/entry"
	"amaranthstile/membership"
	"amaranthstile/result"
)

const (
	// otherDomainCost is what an endpoint of another failure domain costs beside a near one, in usual requests: a small part,
	// so that load goes elsewhere as soon as it would wait here.
	otherDomainCost = 0.8
	// busyCost is what each taken share of an endpoint's slots costs: of two endpoints with a free slot, the idler one is
	// taken, which also spreads requests.
	busyCost = 0.4
	// warmingCost is what a cold start costs.
	warmingCost = 0.5
	// packCost is what each endpoint before this one in the common order of its failure domain costs. All instances of the
	// domain prefer the same endpoints as long as these have room, so that each is proved many times a second, and few
	// requests are the first to find that one has turned gray.
	packCost = 0.12
	// randomCost spreads the choices of instances that see the same, spreadCost those of requests that prove the endpoints
	// which would get none.
	randomCost = 0.05
	spreadCost = 0.5
	// spreadShare is the share of repeatable requests, and spreadOthers that of all others, which go to any endpoint of the
	// domain: with them nearly every endpoint gets one within two seconds, and is known to be well when it is needed.
	spreadShare  = 0.5
	spreadOthers = 0.3
	// unservedWeight is the weight of one request in a service's share of requests that were not served, and spreadAbove the
	// share from which this instance spreads all requests of the service: where a part of the endpoints fails its callers, the
	// others must not stand idle.
	unservedWeight = 0.15
	spreadAbove    = 0.08
	// shedCost is what an endpoint costs for shedAge after its backend server refused a request: others come first, but it stays
	// in use where all of them refuse now and then.
	shedCost = 1.5
	shedAge  = 400 * time.Millisecond
	// trialGain draws requests that may be repeated to an endpoint whose rest is over and that has not answered since, and
	// trialCost keeps all others from it: somebody has to find out whether it is well, and only those can go elsewhere then.
	trialGain = 1.0
	trialCost = 2.0
	// trialAge is how long after its rest an endpoint counts as such, where this instance sees none of its answers.
	trialAge = 3 * time.Second
	// loadAge is how long a reported load counts, about one usual request.
	loadAge = 250 * time.Millisecond
	// linkRest is how long an instance that could not be reached is left out at first; it doubles up to linkRestMost.
	linkRest     = 300 * time.Millisecond
	linkRestMost = 4 * time.Second
	// drainRest is how long an endpoint that refuses as draining or unknown is left out, until the membership tells more.
	drainRest = 2 * time.Second
)

// CostSelectorOptions are the options of a CostSelector; all fields are needed.
type CostSelectorOptions struct {
	// Domain is the own failure domain.
	Domain string
	// Now returns the time.
	Now func() time.Time
	// Rand returns uniform random numbers from 0 to below 1; many requests call it at once.
	Rand func() float64
}

// CostSelector chooses the endpoint of the least expected cost: the wait for a slot by what this instance has under way there
// and by the load that the last answer told, the way to another failure domain, and a cold start. Endpoints whose exit
// side told that they rest, and instances that can't be reached, are left out for that time. It implements entry.Selector
// and suits instances that each see few of the requests for an endpoint.
type CostSelector struct {
	options CostSelectorOptions

	mu        sync.Mutex
	endpoints map[endpointKey]*placed // guarded by mu
	links     map[membership.ID]*reach
	unserved  map[string]float64 // share of requests, by service
	rankings  map[string]ranking // by service
	swept     time.Time
}

type endpointKey struct {
	instance membership.ID
	backend  string
}

// placed is what this instance knows of an endpoint.
type placed struct {
	underWay int
	load     backend.Load
	loadAt   time.Time
	restTill time.Time
	onTrial  bool // since its rest no answer was seen
	shedAt   time.Time
	usedAt   time.Time
}

// triedAgain tells whether the rest of the endpoint is over and it has yet to show that it is well.
func (e *placed) triedAgain(now time.Time) bool {
	return e.onTrial && now.Sub(e.restTill) < trialAge
}

// reach is what this instance knows of the way to another.
type reach struct {
	failures int
	restTill time.Time
}

// NewCostSelector returns a CostSelector that knows nothing.
func NewCostSelector(o CostSelectorOptions) *CostSelector {
	return &CostSelector{options: o, endpoints: make(map[endpointKey]*placed), links: make(map[membership.ID]*reach), unserved: make(map[string]float64), rankings: make(map[string]ranking)}
}

// Select implements entry.Selector.
func (p *CostSelector) Select(q entry.Query) (membership.Candidate, bool) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	var best membership.Candidate
	var bestCost float64
	found := false
	share := spreadOthers
	if q.Repeatable {
		share = spreadShare
	}
	spread := p.unserved[q.Service] > spreadAbove || p.options.Rand() < share
	list := q.Directory.Endpoints(q.Service)
	ranks := p.ranksOf(q.Service, list)
	for n, c := range list {
		if !p.mayTake(now, q, c) {
			continue
		}
		cost := p.cost(now, c) + p.onTrial(now, q, c)
		if spread {
			cost += spreadCost * p.options.Rand()
		} else {
			cost += packCost * ranks[n]
		}
		if !found || cost < bestCost {
			best, bestCost, found = c, cost, true
		}
	}
	if found {
		e := p.endpoint(best)
		e.underWay++
		e.usedAt = now
	}
	return best, found
}

// mayTake tells whether an endpoint is a choice for a request.
func (p *CostSelector) mayTake(now time.Time, q entry.Query, c membership.Candidate) bool {
	return !c.Instance.Leaving && c.State != membership.Draining && !tried(q.Tried, c) && !p.resting(now, c)
}

// onTrial is what an endpoint costs a request, or gains, while it has yet to show that it is well after a rest.
func (p *CostSelector) onTrial(now time.Time, q entry.Query, c membership.Candidate) float64 {
	e := p.endpoints[endpointKey{c.Instance.ID, c.Backend}]
	switch {
	case e == nil || !e.triedAgain(now):
		return 0
	case q.Repeatable && !q.Reached:
		return -trialGain
	}
	return trialCost
}

func tried(list []membership.Candidate, c membership.Candidate) bool {
	for _, x := range list {
		if x.Instance.ID == c.Instance.ID && x.Backend == c.Backend {
			return true
		}
	}
	return false
}

func (p *CostSelector) resting(now time.Time, c membership.Candidate) bool {
	if l := p.links[c.Instance.ID]; l != nil && now.Before(l.restTill) {
		return true
	}
	e := p.endpoints[endpointKey{c.Instance.ID, c.Backend}]
	return e != nil && now.Before(e.restTill)
}

// cost is in usual requests.
func (p *CostSelector) cost(now time.Time, c membership.Candidate) float64 {
	cost := randomCost * p.options.Rand()
	slots := float64(max(c.Slots, 1))
	if e := p.endpoints[endpointKey{c.Instance.ID, c.Backend}]; e != nil {
		busy := float64(e.underWay)
		if age := now.Sub(e.loadAt); age < loadAge {
			told := float64(e.load.Running+e.load.Waiting) * (1 - float64(age)/float64(loadAge))
			busy = max(busy, told)
		}
		if now.Sub(e.shedAt) < shedAge {
			cost += shedCost
		}
		cost += busyCost*busy/slots + max(busy+1-slots, 0)/slots*2
	}
	if c.Instance.Domain != p.options.Domain {
		cost += otherDomainCost
	}
	if c.State == membership.Warming {
		cost += warmingCost
	}
	return cost
}

func (p *CostSelector) endpoint(c membership.Candidate) *placed {
	key := endpointKey{c.Instance.ID, c.Backend}
	e := p.endpoints[key]
	if e == nil {
		e = &placed{}
		p.endpoints[key] = e
	}
	return e
}

// RequestDone notes whether a request of a service was served in the end.
func (p *CostSelector) RequestDone(service string, served bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.unserved[service] * (1 - unservedWeight)
	if !served {
		u += unservedWeight
	}
	p.unserved[service] = u
}

// Done implements entry.Selector.
func (p *CostSelector) Done(c membership.Candidate, t entry.Trial) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoint(c)
	e.underWay = max(e.underWay-1, 0)
	if load, ok := backend.ParseLoad(t.Load); ok {
		e.load, e.loadAt = load, now
	}
	e.onTrial = e.onTrial && t.Err != nil
	switch result.CodeOf(t.Err) {
	case result.LinkUnreachable, result.LinkBroken:
		p.unreachable(now, c.Instance.ID)
		return
	case result.BackendEjected:
		e.restTill, e.onTrial = now.Add(result.RetryAfterOf(t.Err)), true
	case result.BackendDraining, result.BackendUnknown, result.ShuttingDown:
		e.restTill = now.Add(drainRest)
	case result.BackendShed:
		e.shedAt = now
	case result.TryGivenUp:
		e.shedAt = now // another try, which began later, was sooner; that is no sign of life
		return
	case result.BackendBusy, result.QueueFull:
		e.load, e.loadAt = backend.Load{Running: max(c.Slots, 1), Slots: c.Slots}, now
	}
	delete(p.links, c.Instance.ID)
}

func (p *CostSelector) unreachable(now time.Time, id membership.ID) {
	l := p.links[id]
	if l == nil {
		l = &reach{}
		p.links[id] = l
	}
	rest := min(linkRest<<min(l.failures, 4), linkRestMost)
	l.failures++
	l.restTill = now.Add(rest)
}

const (
	// sweepEvery and forgetAfter bound what is kept of endpoints that are gone.
	sweepEvery  = 30 * time.Second
	forgetAfter = time.Minute
)

// sweep forgets endpoints that were not used for long.
func (p *CostSelector) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	for key, e := range p.endpoints {
		if e.underWay == 0 && now.Sub(e.usedAt) > forgetAfter {
			delete(p.endpoints, key)
		}
	}
	for id, l := range p.links {
		if now.Sub(l.restTill) > forgetAfter {
			delete(p.links, id)
		}
	}
}
