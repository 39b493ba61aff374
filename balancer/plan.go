package balancer

import (
	"sync"
	"sync/atomic"

	"amaranthstile/membership"
)

// plan is an immutable view of the endpoints of a service, sorted into the lists that a selection needs.
type plan struct {
	directory *membership.Directory
	floor     float64
	local     []*endpoint // in use, in the local failure domain
	all       []*endpoint // in use
	trials    []*endpoint // ejected, not kept by the floor, and open to trial requests
	byID      map[endpointID]*endpoint
}

// serviceState holds the current plan of one service and the state that outlives a plan.
type serviceState struct {
	current  atomic.Pointer[plan]
	rotation atomic.Uint64 // position of RoundRobin
	mu       sync.Mutex
	loads    map[endpointID]*loadTracker // guarded by mu
}

// planFor returns the state of a service and its plan for a directory.
func (s *Selector) planFor(d *membership.Directory, name string) (*serviceState, *plan) {
	v, ok := s.services.Load(name)
	if !ok {
		v, _ = s.services.LoadOrStore(name, &serviceState{loads: make(map[endpointID]*loadTracker)})
	}
	service := v.(*serviceState)
	floor := s.options.Floor(name)
	p := service.current.Load()
	if p != nil && p.directory == d && p.floor == floor {
		return service, p
	}
	return service, s.buildPlan(service, d, name, floor)
}

// buildPlan builds and stores a new plan. It keeps the load trackers of endpoints that are still announced.
func (s *Selector) buildPlan(service *serviceState, d *membership.Directory, name string, floor float64) *plan {
	service.mu.Lock()
	defer service.mu.Unlock()
	endpoints := d.Endpoints(name)
	use := ApplyFloor(endpoints, floor)
	p := &plan{directory: d, floor: floor, byID: make(map[endpointID]*endpoint, len(endpoints))}
	loads := make(map[endpointID]*loadTracker, len(endpoints))
	for i, c := range endpoints {
		id := endpointIDOf(c)
		load := service.loads[id]
		if load == nil {
			load = &loadTracker{}
		}
		loads[id] = load
		e := &endpoint{Candidate: c, load: load, breaker: s.linkBreaker(c.Instance.ID)}
		p.byID[id] = e
		s.addToPlan(p, e, use[i])
	}
	service.loads = loads
	service.current.Store(p)
	return p
}

func (s *Selector) addToPlan(p *plan, e *endpoint, use bool) {
	switch {
	case use:
		if e.State == membership.Warming {
			e.extraLoad = warmingLoad
		}
		if e.State == membership.Ejected {
			e.extraLoad = floorLoad
		}
		p.all = append(p.all, e)
		if e.Instance.Domain == s.options.Domain {
			p.local = append(p.local, e)
		}
	case countsAsCapacity(e.Candidate) && e.Trials:
		p.trials = append(p.trials, e)
	}
}

// linkBreaker returns the circuit breaker of the link to an instance.
func (s *Selector) linkBreaker(id membership.ID) *sharedBreaker {
	v, ok := s.breakers.Load(id)
	if !ok {
		v, _ = s.breakers.LoadOrStore(id, &sharedBreaker{})
	}
	return v.(*sharedBreaker)
}
