package choice

import (
	"sync"
	"sync/atomic"

	"amaranthstile/membership"
)

// plan is an immutable view of the endpoints of a service, ready for choosing.
type plan struct {
	directory *membership.Directory
	floor     float64
	local     []*node // in use, in the own failure domain
	all       []*node // in use
	trials    []*node // ejected, not kept by the floor, and wanting trials
	byKey     map[key]*node
}

// service holds the plan of one service and what outlives it.
type service struct {
	current atomic.Pointer[plan]
	turn    atomic.Uint64
	mu      sync.Mutex
	loads   map[key]*load // guarded by mu
}

// plan returns the plan for the directory of a query.
func (s *Selector) plan(d *membership.Directory, name string) (*service, *plan) {
	v, ok := s.services.Load(name)
	if !ok {
		v, _ = s.services.LoadOrStore(name, &service{loads: make(map[key]*load)})
	}
	held := v.(*service)
	floor := s.options.Floor(name)
	p := held.current.Load()
	if p != nil && p.directory == d && p.floor == floor {
		return held, p
	}
	return held, s.build(held, d, name, floor)
}

// build makes a new plan and keeps the loads of endpoints that are still announced.
func (s *Selector) build(held *service, d *membership.Directory, name string, floor float64) *plan {
	held.mu.Lock()
	defer held.mu.Unlock()
	endpoints := d.Endpoints(name)
	use := ApplyFloor(endpoints, floor)
	p := &plan{directory: d, floor: floor, byKey: make(map[key]*node, len(endpoints))}
	loads := make(map[key]*load, len(endpoints))
	for i, c := range endpoints {
		k := keyOf(c)
		l := held.loads[k]
		if l == nil {
			l = &load{}
		}
		loads[k] = l
		n := &node{Candidate: c, load: l, link: s.link(c.Instance.ID)}
		p.byKey[k] = n
		s.place(p, n, use[i])
	}
	held.loads = loads
	held.current.Store(p)
	return p
}

func (s *Selector) place(p *plan, n *node, use bool) {
	switch {
	case use:
		if n.State == membership.Warming {
			n.extra = warmingLoad
		}
		if n.State == membership.Ejected {
			n.extra = keptLoad
		}
		p.all = append(p.all, n)
		if n.Instance.Domain == s.options.Domain {
			p.local = append(p.local, n)
		}
	case announcedFor(n.Candidate) && n.Trials:
		p.trials = append(p.trials, n)
	}
}

// link returns the verdict on the link to an instance.
func (s *Selector) link(id membership.ID) *sharedLink {
	v, ok := s.links.Load(id)
	if !ok {
		v, _ = s.links.LoadOrStore(id, &sharedLink{})
	}
	return v.(*sharedLink)
}
