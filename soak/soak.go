// Package soak runs a fleet under load, injects a long sequence of faults and checks the fleet's guarantees.
//
// The sequence of faults is drawn at random from a seed: instances that are killed or stopped and then replaced, one-way
// network partitions, platform outages, lost responses of the platform, backend servers that fail or drain, and operators
// that submit conflicting tickets at the same time.
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

// Options configure a soak.
type Options struct {
	Instances int
	// Backends is the number of backend servers at each instance.
	Backends int
	// Duration is how long faults are injected.
	Duration time.Duration
	// Seed determines the sequence of faults.
	Seed uint64
	// FaultInterval is the time between two faults, and between two attempts to submit a ticket.
	FaultInterval time.Duration
}

const (
	serviceName = "roster"
	// openServiceName is a service whose route needs no key.
	openServiceName = "turnos"
	floorShare      = 0.5
	slots           = 3
	serviceTime     = 2 * time.Millisecond
	domains         = 5
	// startTimeout bounds the start of the fleet.
	startTimeout = time.Minute
	// recoveryTime is how long the fleet may take to recover after the last fault.
	recoveryTime = 30 * time.Second
)

// Report is the result of a soak.
type Report struct {
	Violations fleet.Violations
	// AccountsOverRate lists the accounts for which more requests were served than their rate and burst allow.
	AccountsOverRate []string
	// RevisionRegressions counts how often an instance was seen to go back to an earlier revision.
	RevisionRegressions int
	// MissingLastTicket is 1 if any running instance does not apply the last accepted ticket within recoveryTime after
	// the load has ended.
	MissingLastTicket int
	// RanAfterRevocation counts requests that ran although their key was revoked more than revocationLimit earlier.
	RanAfterRevocation int
	// Faults counts the injected faults by name.
	Faults map[string]int
	// AcceptedTickets counts accepted tickets.
	AcceptedTickets int
	// Outcomes counts the calls of all accounts by their outcome.
	Outcomes fleet.OutcomeCounts
}

// Passed reports whether no guarantee was violated.
func (r Report) Passed() bool {
	return r.Violations.Total() == 0 && len(r.AccountsOverRate) == 0 && r.RevisionRegressions == 0 &&
		r.MissingLastTicket == 0 && r.RanAfterRevocation == 0
}

// soak is a soak in progress.
type soak struct {
	options      Options
	fleet        *fleet.Fleet
	random       *rand.Rand
	report       Report
	loads        []*accountLoad
	nextNumber   uint64 // number of the next ticket
	lastRevision ticket.Revision
}

// accountLoad is the load of one client account.
type accountLoad struct {
	name    string
	rate    float64 // rate limit, in requests per second
	burst   int
	load    *fleet.Load
	callLog *fleet.CallLog
	elapsed time.Duration
}

// Run runs the soak.
func Run(ctx context.Context, o Options) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout+o.Duration+2*recoveryTime)
	defer cancel()
	s := &soak{
		options:    o,
		random:     rand.New(rand.NewPCG(o.Seed, 0)),
		report:     Report{Faults: make(map[string]int)},
		nextNumber: 2,
	}
	if err := s.startFleet(ctx); err != nil {
		return s.report, err
	}
	defer s.fleet.Close()
	loadCtx, stopLoad := context.WithCancel(ctx)
	var background sync.WaitGroup
	for _, a := range s.loads {
		background.Go(func() { a.run(loadCtx) })
	}
	background.Go(func() { s.checkRevisions(loadCtx) })
	err := s.injectFaults(ctx)
	stopLoad()
	background.Wait()
	if err == nil {
		s.checkAll(ctx)
	}
	return s.report, err
}

// injectFaults injects random faults until the duration is over and then revokes a key.
func (s *soak) injectFaults(ctx context.Context) error {
	end := time.Now().Add(s.options.Duration)
	for time.Now().Before(end) {
		f := faults[s.random.IntN(len(faults))]
		s.report.Faults[f.name]++
		if err := f.run(ctx, s); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		wait(ctx, s.options.FaultInterval)
	}
	return s.revokeKey(ctx)
}

// startFleet starts the fleet with its backend servers and applies the initial ticket.
func (s *soak) startFleet(ctx context.Context) error {
	var names []string
	for n := range domains {
		names = append(names, fmt.Sprintf("domain-%d", n))
	}
	f, err := fleet.Start(fleet.Options{Domains: names, Region: "litoral", Instances: s.options.Instances})
	if err != nil {
		return err
	}
	s.fleet = f
	if err := s.configureFleet(ctx); err != nil {
		f.Close()
		return err
	}
	return nil
}

// configureFleet starts the backend servers, waits until the fleet is ready and applies the initial ticket.
func (s *soak) configureFleet(ctx context.Context) error {
	n := 0
	for i := range s.options.Instances {
		for range s.options.Backends {
			o := backendstandin.Options{
				ID: fmt.Sprintf("b%d", n), Service: []string{serviceName, openServiceName}[n%2], Slots: slots,
				ServiceTime: serviceTime,
			}
			if _, err := s.fleet.AddBackend(i, o); err != nil {
				return err
			}
			n++
		}
	}
	if err := s.fleet.WaitReady(ctx, n); err != nil {
		return fmt.Errorf("fleet did not become ready: %w", err)
	}
	record, err := s.fleet.SubmitTicket(ctx, 0, s.initialTicket())
	if err != nil {
		return err
	}
	s.lastRevision = record.Revision
	return s.fleet.WaitRevision(ctx, record.Revision)
}

// initialTicket prepares the accounts' loads and returns the ticket that creates the services, routes and accounts.
// The loads are 0.5, 0.8 and 3 times the rate limit.
func (s *soak) initialTicket() *ticket.Ticket {
	t := &ticket.Ticket{
		Number:   1,
		Services: map[string]*ticket.Service{serviceName: {Floor: floorShare}, openServiceName: {Floor: floorShare}},
		Routes: map[string]*ticket.Route{
			serviceName:     {Prefix: "/" + serviceName, Service: serviceName},
			openServiceName: {Prefix: "/" + openServiceName, Service: openServiceName, Open: true},
		},
		Accounts: make(map[string]*ticket.Account),
	}
	for n, factor := range []float64{0.5, 0.8, 3} {
		a := &accountLoad{name: fmt.Sprintf("account-%d", n), rate: 40, burst: 20, callLog: &fleet.CallLog{}}
		a.load = &fleet.Load{
			Fleet:     s.fleet,
			Client:    fleet.NewClient(a.name, a.key()),
			CallLog:   a.callLog,
			Rate:      a.rate * factor,
			Services:  []string{serviceName},
			PostEvery: 3,
		}
		s.loads = append(s.loads, a)
		t.Accounts[a.name] = a.withKey()
	}
	return t
}

func (a *accountLoad) key() string { return "key-of-" + a.name }

// withKey returns the configuration of the account with its key.
func (a *accountLoad) withKey() *ticket.Account {
	return &ticket.Account{Keys: []ticket.Hash{ticket.HashKey(a.key())}, Rate: a.rate, Burst: a.burst}
}

// run sends the load until ctx ends and records how long it ran.
func (a *accountLoad) run(ctx context.Context) {
	start := time.Now()
	a.load.Run(ctx)
	a.elapsed = time.Since(start)
}

// wait waits for the duration d, or until ctx ends if that is sooner.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
