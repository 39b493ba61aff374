// Package soak runs a fleet through a long row of faults under load and checks the promises throughout.
//
// The row of faults is drawn from a seed: instances killed or stopped and replaced, one-way cuts, platform outages,
// lost answers of the platform, backend servers that fail or drain, and operators that race each other.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/fleet"
	"amaranthstile/ticket"
)

// Options are the options of a soak.
type Options struct {
	Instances int
	// Backends is the number of backend servers beside each instance.
	Backends int
	// Duration is how long faults and load go on.
	Duration time.Duration
	// Seed fixes the row of faults.
	Seed uint64
	// FaultInterval is the time between two faults.
	FaultInterval time.Duration
}

const (
	serviceName = "roster"
	openName    = "turnos"
	floor       = 0.5
	slots       = 3
	serviceTime = 2 * time.Millisecond
	domains     = 5
	startLimit  = time.Minute
	// quiet is how long the fleet has to come to rest once the faults are over.
	quiet = 30 * time.Second
)

// Report is what a soak saw.
type Report struct {
	Violations fleet.Violations
	// AccountsOverRate names accounts that got more than rate and burst.
	AccountsOverRate []string
	// RevisionRegressions counts states in which an instance went back to an earlier revision.
	RevisionRegressions int
	// MissingLastTicket counts running instances that did not have the last accepted ticket in the end.
	MissingLastTicket int
	// RanAfterRevocation counts requests that ran for a key long after its withdrawal.
	RanAfterRevocation int
	// Faults counts the faults by kind.
	Faults map[string]int
	// AcceptedTickets counts tickets.
	AcceptedTickets int
	// Outcomes sums the calls of all accounts.
	Outcomes fleet.OutcomeCounts
}

// Passed reports whether every promise held.
func (r Report) Passed() bool {
	return r.Violations.Total() == 0 && len(r.AccountsOverRate) == 0 && r.RevisionRegressions == 0 && r.MissingLastTicket == 0 && r.RanAfterRevocation == 0
}

// soak is a running soak.
type soak struct {
	options Options
	fleet   *fleet.Fleet
	random  *rand.Rand
	report  Report
	loads   []*accountLoad
	next    uint64 // number of the next ticket
	last    ticket.Revision
}

// accountLoad is the load of one client account.
type accountLoad struct {
	name   string
	rate   float64
	burst  int
	load   *fleet.Load
	ledger *fleet.CallLog
	took   time.Duration
}

// Run runs the soak.
func Run(ctx context.Context, o Options) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit+o.Duration+2*quiet)
	defer cancel()
	s := &soak{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
		report:  Report{Faults: make(map[string]int)},
		next:    2,
	}
	if err := s.start(ctx); err != nil {
		return s.report, err
	}
	defer s.fleet.Close()
	loadCtx, stopLoad := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, a := range s.loads {
		running.Go(func() { a.run(loadCtx) })
	}
	running.Go(func() { s.watchRevisions(loadCtx) })
	err := s.run(ctx)
	stopLoad()
	running.Wait()
	if err == nil {
		s.check(ctx)
	}
	return s.report, err
}

// run draws faults until the time is over and then heals everything.
func (s *soak) run(ctx context.Context) error {
	end := time.Now().Add(s.options.Duration)
	for time.Now().Before(end) {
		f := faults[s.random.IntN(len(faults))]
		s.report.Faults[f.name]++
		if err := f.run(ctx, s); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		wait(ctx, s.options.FaultInterval)
	}
	return s.withdrawKey(ctx)
}

func (s *soak) start(ctx context.Context) error {
	var names []string
	for n := range domains {
		names = append(names, fmt.Sprintf("domain-%d", n))
	}
	f, err := fleet.Start(fleet.Options{Domains: names, Region: "litoral", Instances: s.options.Instances})
	if err != nil {
		return err
	}
	s.fleet = f
	if err := s.furnish(ctx); err != nil {
		f.Close()
		return err
	}
	return nil
}

func (s *soak) furnish(ctx context.Context) error {
	n := 0
	for i := range s.options.Instances {
		for range s.options.Backends {
			o := backendstandin.Options{ID: fmt.Sprintf("b%d", n), Service: []string{serviceName, openName}[n%2], Slots: slots, ServiceTime: serviceTime}
			if _, err := s.fleet.AddBackend(i, o); err != nil {
				return err
			}
			n++
		}
	}
	if err := s.fleet.WaitReady(ctx, n); err != nil {
		return fmt.Errorf("not ready: %w", err)
	}
	record, err := s.fleet.SubmitTicket(ctx, 0, s.firstTicket())
	if err != nil {
		return err
	}
	s.last = record.Revision
	return s.fleet.WaitRevision(ctx, record.Revision)
}

func (s *soak) firstTicket() *ticket.Ticket {
	t := &ticket.Ticket{
		Number:   1,
		Services: map[string]*ticket.Service{serviceName: {Floor: floor}, openName: {Floor: floor}},
		Routes: map[string]*ticket.Route{
			serviceName: {Prefix: "/" + serviceName, Service: serviceName},
			openName:    {Prefix: "/" + openName, Service: openName, Open: true},
		},
		Accounts: make(map[string]*ticket.Account),
	}
	for n, factor := range []float64{0.5, 0.8, 3} {
		a := &accountLoad{name: fmt.Sprintf("account-%d", n), rate: 40, burst: 20, ledger: &fleet.CallLog{}}
		a.load = &fleet.Load{
			Fleet:     s.fleet,
			Client:    fleet.NewClient(a.name, a.key()),
			CallLog:    a.ledger,
			Rate:      a.rate * factor,
			Services:  []string{serviceName},
			PostEvery: 3,
		}
		s.loads = append(s.loads, a)
		t.Accounts[a.name] = a.granted()
	}
	return t
}

func (a *accountLoad) key() string { return "key-of-" + a.name }

func (a *accountLoad) granted() *ticket.Account {
	return &ticket.Account{Keys: []ticket.Hash{ticket.HashKey(a.key())}, Rate: a.rate, Burst: a.burst}
}

func (a *accountLoad) run(ctx context.Context) {
	start := time.Now()
	a.load.Run(ctx)
	a.took = time.Since(start)
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
