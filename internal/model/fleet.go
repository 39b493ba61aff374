package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"amaranthstile/backend/admission"
	"amaranthstile/balancer"
	"amaranthstile/membership"
)

// FleetService is a service of a Fleet. Endpoints is the number of its endpoints in each failure domain.
type FleetService struct {
	Name      string
	Endpoints []int
}

// Kind is a kind of request. Requests of rate 0 are nested calls only.
type Kind struct {
	Name, Service string
	Rate          float64 // per second
	Work          time.Duration
	Target, Limit time.Duration
	Priority      int
	Repeatable    bool
	OnTime, Late  float64 // benefit of a response within Target and within Limit
	// Nested is the kind of the nested calls that NestedShare of the requests make, NestedCalls each, one after the other.
	Nested      string
	NestedShare float64
	NestedCalls int
}

// FleetOptions are the options of a Fleet.
type FleetOptions struct {
	Seed     uint64
	Services []FleetService
	Kinds    []Kind
	Slots    int // per endpoint
	// Load multiplies the rates of all kinds.
	Load float64
	// DomainShares are the shares of the arrivals in each failure domain.
	DomainShares []float64
	// Swing and Period describe the sine wave of the arrivals. Shifted makes the domains peak one after the other.
	Swing   float64
	Period  time.Duration
	Shifted bool
	// FailingShare is the mean share of the endpoints that fail at a time. Each fails FailureRate of its requests for
	// FailureTime on average.
	FailingShare, FailureRate float64
	FailureTime               time.Duration
	// LocalDelay and RemoteDelay are the one-way delays within and between failure domains.
	LocalDelay, RemoteDelay time.Duration
	RetryBound              admission.RetryBound
	// Duration is how long requests arrive.
	Duration time.Duration
}

// Fleet simulates the sidecar deployment of several services: one instance and its CostSelector beside each endpoint,
// and an admission controller for each endpoint. It runs the product's own code for the choice of endpoints, the
// sequence of attempts and the admission. Hedging and quotas are left out. It is not safe for concurrent use.
type Fleet struct {
	scheduler
	options FleetOptions
	// Arrivals and failures have their own random numbers, so that they don't depend on the decisions.
	arrivals, faults, rand *rand.Rand
	directory              *membership.Directory
	endpoints              map[string]*fleetEndpoint // by name of the backend server
	instances              [][]*fleetInstance        // by failure domain
	kinds                  map[string]*Kind
	result                 FleetResult
}

// fleetInstance is the entry side of an instance.
type fleetInstance struct {
	domain   int
	selector *balancer.CostSelector
}

// FleetResult counts what callers get, nested calls included, and what it costs.
type FleetResult struct {
	Requests, OnTime, Late int
	// Refused counts refusals, RefusedFree those while a sound endpoint of the service had a free slot. Failed counts
	// requests that failed at a backend server or got no response within their limit.
	Refused, RefusedFree, Failed int
	// Runs counts requests at backend servers, RemoteRuns those that came from another failure domain.
	Runs, RemoteRuns int
	// Attempts counts sendings, Busy those that were refused because no slot was free.
	Attempts, Busy int
	// Benefit is what the requests of clients earned, PossibleBenefit what they could have earned.
	Benefit, PossibleBenefit float64
	ByService                map[string]ServiceCounts
}

// ServiceCounts are counts of the requests of one service.
type ServiceCounts struct{ Requests, OnTime, Late, Refused, RefusedFree int }

// Add adds the counts of another run.
func (r *FleetResult) Add(x FleetResult) {
	r.Requests, r.OnTime, r.Late = r.Requests+x.Requests, r.OnTime+x.OnTime, r.Late+x.Late
	r.Refused, r.RefusedFree, r.Failed = r.Refused+x.Refused, r.RefusedFree+x.RefusedFree, r.Failed+x.Failed
	r.Runs, r.RemoteRuns = r.Runs+x.Runs, r.RemoteRuns+x.RemoteRuns
	r.Attempts, r.Busy = r.Attempts+x.Attempts, r.Busy+x.Busy
	r.Benefit, r.PossibleBenefit = r.Benefit+x.Benefit, r.PossibleBenefit+x.PossibleBenefit
	if r.ByService == nil {
		r.ByService = make(map[string]ServiceCounts)
	}
	for name, c := range x.ByService {
		s := r.ByService[name]
		r.ByService[name] = ServiceCounts{
			s.Requests + c.Requests, s.OnTime + c.OnTime, s.Late + c.Late, s.Refused + c.Refused, s.RefusedFree + c.RefusedFree,
		}
	}
}

// NewFleet returns a Fleet that is ready to run.
func NewFleet(o FleetOptions) *Fleet {
	f := &Fleet{
		options: o, arrivals: rand.New(rand.NewPCG(o.Seed, 1)), faults: rand.New(rand.NewPCG(o.Seed, 2)),
		rand:      rand.New(rand.NewPCG(o.Seed, 3)),
		endpoints: make(map[string]*fleetEndpoint), instances: make([][]*fleetInstance, len(o.DomainShares)),
		kinds: make(map[string]*Kind), result: FleetResult{ByService: make(map[string]ServiceCounts)},
	}
	for n := range o.Kinds {
		f.kinds[o.Kinds[n].Name] = &o.Kinds[n]
	}
	records := make(map[membership.ID]*membership.Record)
	for _, service := range o.Services {
		for domain, count := range service.Endpoints {
			for n := range count {
				e := f.addEndpoint(fmt.Sprintf("%s-%d-%d", service.Name, domain, n), domain)
				id := membership.ID("instance-" + e.name)
				records[id] = &membership.Record{ID: id, Domain: domainName(domain), Endpoints: []membership.Endpoint{
					{Backend: e.name, Service: service.Name, Slots: o.Slots, State: membership.Active},
				}}
			}
		}
	}
	f.directory = membership.NewDirectory(records)
	return f
}

func domainName(n int) string { return fmt.Sprint("domain-", n) }

// addEndpoint adds an endpoint and the instance beside it.
func (f *Fleet) addEndpoint(name string, domain int) *fleetEndpoint {
	i := &fleetInstance{domain: domain, selector: balancer.NewCostSelector(balancer.CostSelectorOptions{
		Domain: domainName(domain), Now: f.clock, Rand: f.rand.Float64,
	})}
	f.instances[domain] = append(f.instances[domain], i)
	e := newFleetEndpoint(f, name, i)
	f.endpoints[name] = e
	return e
}

// Run runs the simulation until all requests have ended and returns its result.
func (f *Fleet) Run() FleetResult {
	for _, service := range f.options.Services {
		for _, e := range f.directory.Endpoints(service.Name) {
			f.endpoints[e.Backend].scheduleFault()
		}
	}
	for n := range f.options.Kinds {
		for domain := range f.options.DomainShares {
			f.scheduleArrival(&f.options.Kinds[n], domain)
		}
	}
	for len(f.events) > 0 {
		f.step()
	}
	return f.result
}

// scheduleArrival schedules the next request of clients of a kind in a domain. Arrivals are drawn at the highest rate and
// thinned to the present one.
func (f *Fleet) scheduleArrival(k *Kind, domain int) {
	highest := k.Rate * f.options.Load * f.options.DomainShares[domain] * (1 + f.options.Swing)
	if highest == 0 {
		return
	}
	f.schedule(time.Duration(f.arrivals.ExpFloat64()/highest*float64(time.Second)), func() {
		if f.now >= f.options.Duration {
			return
		}
		if f.arrivals.Float64()*(1+f.options.Swing) < f.wave(domain) {
			in := f.instances[domain]
			f.send(k, in[f.arrivals.IntN(len(in))], f.now+k.Limit, false, func(ok bool) {})
		}
		f.scheduleArrival(k, domain)
	})
}

// wave returns the factor of the arrivals in a domain at present.
func (f *Fleet) wave(domain int) float64 {
	phase := f.now.Seconds() / f.options.Period.Seconds()
	if f.options.Shifted {
		phase += float64(domain) / float64(len(f.options.DomainShares))
	}
	return 1 + f.options.Swing*math.Sin(2*math.Pi*phase)
}

// delay returns the one-way delay between an instance and an endpoint.
func (f *Fleet) delay(i *fleetInstance, e *fleetEndpoint) time.Duration {
	if i.domain == e.instance.domain {
		return f.options.LocalDelay
	}
	return f.options.RemoteDelay
}

// hasFreeSlot reports whether a sound endpoint of a service would take a request at once.
func (f *Fleet) hasFreeSlot(service string) bool {
	for _, c := range f.directory.Endpoints(service) {
		if f.endpoints[c.Backend].free() {
			return true
		}
	}
	return false
}
