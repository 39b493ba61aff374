// Package model is a discrete-event simulation of one service. It runs the product's own code for queues, failure
// detectors and the selection of endpoints, and simulates only time, links and backend servers. Tests and
// internal/backendmeasure use it.
package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthstile/backend"
	"amaranthstile/backend/health"
	"amaranthstile/balancer"
	"amaranthstile/membership"
)

const (
	serviceName = "service"
	// localDelay and remoteDelay are the one-way delays within and between failure domains.
	localDelay   = 200 * time.Microsecond
	remoteDelay  = 1500 * time.Microsecond
	tickInterval = 20 * time.Millisecond
)

// Fault is the fault of a backend server at one moment. The zero value is a healthy server.
type Fault struct {
	// ErrorRate is the share of requests that are answered with an error.
	ErrorRate float64
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64
	// Hang means that no request is answered.
	Hang bool
}

// Account is a simulated client account.
type Account struct {
	Name   string
	Weight int
	// Share is the account's share of the arrivals.
	Share float64
}

// Options are the options of a Simulation.
type Options struct {
	Seed      uint64
	Endpoints int
	Slots     int // per endpoint
	// Entries is the number of instances at which requests arrive. The endpoints are assigned to them in turn.
	Entries int
	// Domains is the number of failure domains.
	Domains int
	// Rate is the total number of arrivals per second.
	Rate float64
	// ServiceTime draws a service time.
	ServiceTime func(r *rand.Rand) time.Duration
	// Requests is the number of requests after which the simulation ends.
	Requests int
	// GossipDelay is how long the change of an endpoint takes to reach all instances.
	GossipDelay time.Duration
	// RequestTimeout is the time limit of each request; 0 means none.
	RequestTimeout time.Duration
	Policy         balancer.Policy
	// NoWaitAttempts is the number of attempts of a request that try another endpoint instead of waiting for a slot.
	NoWaitAttempts int
	Floor          float64
	Accounts       []Account
	// FIFO serves the queues in order of arrival instead of fairly by account. It is there for comparison.
	FIFO bool
	// LoadReportEvery is the average number of answers of which one reports the load; 0 means that each does.
	LoadReportEvery int
	// Fault returns the fault of an endpoint.
	Fault func(endpoint int, now time.Duration) Fault
	// NewDetector returns a new detector for an endpoint; without it, no endpoint is ejected.
	NewDetector func() Detector
	// VerdictChanged is called at each ejection and each return of an endpoint.
	VerdictChanged func(endpoint int, now time.Duration, v health.Verdict)
	// NoGossip disables the gossip of changes, so that a failing endpoint keeps its share of the requests.
	NoGossip bool
}

// Detector is the interface of a health.Detector and of the detectors that it is compared with.
type Detector interface {
	Begin(now time.Time) health.RequestID
	Sent(now time.Time, f health.RequestID)
	Head(now time.Time, f health.RequestID)
	End(now time.Time, f health.RequestID, o backend.Outcome) health.Change
	Tick(now time.Time) health.Change
	SetPeers(now time.Time, p health.Peers)
	Verdict() health.Verdict
	Report() health.Report
}

// Simulation is one simulation run. It is not safe for concurrent use.
type Simulation struct {
	scheduler
	options       Options
	rand          *rand.Rand
	selectors     []*balancer.Selector
	endpoints     []*endpoint
	directory     *membership.Directory
	gossipPending bool
	arrived       int // requests so far
	inFlight      int
	result        Result
}

// New returns a Simulation that is ready to run.
func New(o Options) *Simulation {
	s := &Simulation{options: o, rand: rand.New(rand.NewPCG(o.Seed, 1)), result: newResult()}
	if len(o.Accounts) == 0 {
		s.options.Accounts = []Account{{Name: "all", Weight: 1, Share: 1}}
	}
	if o.Fault == nil {
		s.options.Fault = func(int, time.Duration) Fault { return Fault{} }
	}
	for i := range o.Entries {
		s.selectors = append(s.selectors, balancer.New(balancer.Options{
			Domain: s.domain(i),
			Floor:  func(string) float64 { return o.Floor },
			Policy: o.Policy,
			Now:    s.clock,
			Rand:   s.rand.Uint64,
		}))
	}
	for i := range o.Endpoints {
		s.endpoints = append(s.endpoints, newEndpoint(s, i))
	}
	s.updateDirectory()
	return s
}

func (s *Simulation) domain(i int) string { return fmt.Sprint("domain-", i%max(s.options.Domains, 1)) }

// Run runs the simulation until all requests have ended and returns its result.
func (s *Simulation) Run() Result {
	s.schedule(0, s.arrive)
	s.schedule(tickInterval, s.tick)
	for len(s.events) > 0 && (s.arrived < s.options.Requests || s.inFlight > 0) {
		s.step()
	}
	s.result.Elapsed = s.now
	return s.result
}

func (s *Simulation) tick() {
	for _, e := range s.endpoints {
		e.tick()
	}
	s.schedule(tickInterval, s.tick)
}

// updateDirectory builds the directory that all instances use, and updates the peer reports of the detectors.
func (s *Simulation) updateDirectory() {
	records := make(map[membership.ID]*membership.Record)
	for i := range s.options.Entries {
		id := membership.ID(fmt.Sprint("instance-", i))
		records[id] = &membership.Record{ID: id, Domain: s.domain(i)}
	}
	for _, e := range s.endpoints {
		record := records[membership.ID(fmt.Sprint("instance-", e.number%s.options.Entries))]
		record.Endpoints = append(record.Endpoints, e.announcement())
	}
	s.directory = membership.NewDirectory(records)
	for _, e := range s.endpoints {
		e.updatePeers()
	}
}

// scheduleGossip publishes the endpoints' state to all instances after the gossip delay.
func (s *Simulation) scheduleGossip() {
	if s.gossipPending || s.options.NoGossip {
		return
	}
	s.gossipPending = true
	s.schedule(s.options.GossipDelay, func() {
		s.gossipPending = false
		s.updateDirectory()
	})
}
