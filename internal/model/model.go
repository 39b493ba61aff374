// Package model drives the decisions of one service, queues, detectors and the choice of endpoints, by
// discrete events. It replaces only time, links and backend servers; what it runs is the code of the product.
// Tests and cmd/amaranth-measure use it.
package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthstile/backend"
	"amaranthstile/backend/health"
	"amaranthstile/choice"
	"amaranthstile/membership"
)

const (
	serviceName = "service"
	localDelay  = 200 * time.Microsecond
	remoteDelay = 1500 * time.Microsecond
	tickEvery   = 20 * time.Millisecond
)

// Fault is how a backend server behaves at one moment; the zero value is healthy.
type Fault struct {
	// ErrorRate is the share of requests that are answered with an error.
	ErrorRate float64
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64
	Hang       bool
}

// Account is a client account in the model.
type Account struct {
	Name   string
	Weight int
	// Share is the account's part of the arrivals.
	Share float64
}

// Options are the options of a run.
type Options struct {
	Seed      uint64
	Endpoints int
	Slots     int
	// Entries are the instances that requests arrive at; endpoints are beside them in turn.
	Entries int
	Domains int
	// Rate is the arrivals per second over all.
	Rate float64
	// ServiceTime draws a service time.
	ServiceTime func(r *rand.Rand) time.Duration
	// Requests end the run.
	Requests int
	// GossipDelay is how long a change at an exit takes to reach all entries.
	GossipDelay time.Duration
	// RequestTimeout is the requests' time limit; 0 for none.
	RequestTimeout time.Duration
	Policy         choice.Policy
	// NoWaitAttempts is how many tries of a request go elsewhere rather than wait.
	NoWaitAttempts int
	Floor          float64
	Accounts       []Account
	// FIFO serves the queues in order of arrival, as the first version did.
	FIFO bool
	// LoadReportEvery lets only one of so many answers carry the load; 0 means each.
	LoadReportEvery int
	// Fault returns the fault of an endpoint.
	Fault func(endpoint int, now time.Duration) Fault
	// NewDetector returns the verdicts on an endpoint; nil judges nothing.
	NewDetector func() Detector
	// VerdictChanged is told each ejection and return.
	VerdictChanged func(endpoint int, now time.Duration, v health.Verdict)
	// NoGossip leaves out the spread of verdicts, so that a failing endpoint keeps its share of requests.
	NoGossip bool
}

// Detector is a health.Detector or what it is compared with.
type Detector interface {
	Begin(now time.Time) health.Flight
	Sent(now time.Time, f health.Flight)
	Head(now time.Time, f health.Flight)
	End(now time.Time, f health.Flight, o backend.Outcome) health.Change
	Tick(now time.Time) health.Change
	SetPeers(now time.Time, p health.Peers)
	Verdict() health.Verdict
	Report() health.Report
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// Simulation is one run of the model.
type Simulation struct {
	options   Options
	rand      *rand.Rand
	now       time.Duration
	events    eventHeap
	seq       uint64
	selectors []*choice.Selector
	endpoints []*endpoint
	directory *membership.Directory
	dirty     bool
	arrived   int
	open      int
	result    Result
}

// New prepares a run.
func New(o Options) *Simulation {
	r := &Simulation{options: o, rand: rand.New(rand.NewPCG(o.Seed, 1)), result: newResult()}
	if len(o.Accounts) == 0 {
		r.options.Accounts = []Account{{Name: "all", Weight: 1, Share: 1}}
	}
	if o.Fault == nil {
		r.options.Fault = func(int, time.Duration) Fault { return Fault{} }
	}
	for i := range o.Entries {
		r.selectors = append(r.selectors, choice.New(choice.Options{
			Domain: r.domain(i),
			Floor:  func(string) float64 { return o.Floor },
			Policy: o.Policy,
			Now:    r.time,
			Rand:   r.rand.Uint64,
		}))
	}
	for i := range o.Endpoints {
		r.endpoints = append(r.endpoints, newEndpoint(r, i))
	}
	r.spread()
	return r
}

func (r *Simulation) domain(i int) string { return fmt.Sprint("domain-", i%max(r.options.Domains, 1)) }

func (r *Simulation) time() time.Time { return time.Unix(1_000_000, 0).Add(r.now) }

// after schedules f.
func (r *Simulation) after(d time.Duration, f func()) {
	r.seq++
	heap.Push(&r.events, event{r.now + d, r.seq, f})
}

// Run runs to the end and returns what was measured.
func (r *Simulation) Run() Result {
	r.after(0, r.arrive)
	r.after(tickEvery, r.tick)
	for len(r.events) > 0 && (r.arrived < r.options.Requests || r.open > 0) {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
	r.result.Elapsed = r.now
	return r.result
}

func (r *Simulation) tick() {
	for _, e := range r.endpoints {
		e.tick()
	}
	r.after(tickEvery, r.tick)
}

// spread builds the directory that all entries see.
func (r *Simulation) spread() {
	records := make(map[membership.ID]*membership.Record)
	for i := range r.options.Entries {
		id := membership.ID(fmt.Sprint("instance-", i))
		records[id] = &membership.Record{ID: id, Domain: r.domain(i)}
	}
	for _, e := range r.endpoints {
		record := records[membership.ID(fmt.Sprint("instance-", e.number%r.options.Entries))]
		record.Endpoints = append(record.Endpoints, e.announced())
	}
	r.directory = membership.NewDirectory(records)
	for _, e := range r.endpoints {
		e.hearPeers()
	}
}

// changed spreads the endpoints' state after the gossip's delay.
func (r *Simulation) changed() {
	if r.dirty || r.options.NoGossip {
		return
	}
	r.dirty = true
	r.after(r.options.GossipDelay, func() {
		r.dirty = false
		r.spread()
	})
}
