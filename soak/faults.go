package soak

import (
	"context"
	"time"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/result"
	"amaranthstile/store/standin"
	"amaranthstile/ticket"
)

// fault is one kind of fault; run returns once it is over or, for a cut, underway.
type fault struct {
	name string
	run  func(ctx context.Context, s *soak) error
}

const (
	cutTime   = 3 * time.Second
	awayTime  = 3 * time.Second
	grayTime  = 2 * time.Second
	stopLimit = 20 * time.Second
	slowDelay = 300 // milliseconds
)

var faults = []fault{
	{"kill", func(_ context.Context, s *soak) error { return s.replace(func(n int) { s.fleet.Instances[n].Kill() }) }},
	{"planned stop", func(ctx context.Context, s *soak) error {
		return s.replace(func(n int) {
			ctx, cancel := context.WithTimeout(ctx, stopLimit)
			defer cancel()
			_ = s.fleet.Instances[n].Stop(ctx)
		})
	}},
	{"one-way cut", func(_ context.Context, s *soak) error { return s.cutOneWay() }},
	{"platform away", func(ctx context.Context, s *soak) error { return s.platform(ctx, standin.Faults{Unavailable: true}) }},
	{"platform slow", func(ctx context.Context, s *soak) error {
		return s.platform(ctx, standin.Faults{DelayMillis: slowDelay})
	}},
	{"stale reads", func(ctx context.Context, s *soak) error { return s.platform(ctx, standin.Faults{StaleReads: true}) }},
	{"answers lost", func(ctx context.Context, s *soak) error { return s.answersLost(ctx) }},
	{"operators race", func(ctx context.Context, s *soak) error { return s.race(ctx) }},
	{"gray backend server", func(ctx context.Context, s *soak) error {
		return s.gray(ctx, backendstandin.Faults{ErrorPercent: 100})
	}},
	{"crossed answers", func(ctx context.Context, s *soak) error { return s.gray(ctx, backendstandin.Faults{Crossed: true}) }},
	{"truncated answers", func(ctx context.Context, s *soak) error { return s.gray(ctx, backendstandin.Faults{Truncate: true}) }},
	{"hanging backend server", func(ctx context.Context, s *soak) error { return s.gray(ctx, backendstandin.Faults{Hang: true}) }},
}

// pick draws a running instance by its index.
func (s *soak) pick() int {
	for {
		n := s.random.IntN(len(s.fleet.Instances))
		if s.fleet.Instances[n].Serving() {
			return n
		}
	}
}

// replace ends an instance in the given way and starts another for its backend servers.
func (s *soak) replace(end func(n int)) error {
	n := s.pick()
	end(n)
	if _, err := s.fleet.AddInstance(); err != nil {
		return err
	}
	_ = s.fleet.MoveBackends(n, len(s.fleet.Instances)-1) // what fails is announced again
	return nil
}

// cutOneWay cuts what one instance sends another for a while.
func (s *soak) cutOneWay() error {
	from, to := s.pick(), s.pick()
	if from == to {
		return nil
	}
	s.fleet.Partitions.Set(from, to, true)
	time.AfterFunc(cutTime, func() { s.fleet.Partitions.Set(from, to, false) })
	return nil
}

func (s *soak) platform(ctx context.Context, f standin.Faults) error {
	s.fleet.Platform.SetFaults(f)
	wait(ctx, awayTime)
	s.fleet.Platform.SetFaults(standin.Faults{})
	return nil
}

func (s *soak) gray(ctx context.Context, f backendstandin.Faults) error {
	b := s.fleet.Backends[s.random.IntN(len(s.fleet.Backends))]
	b.Server.SetFaults(f)
	wait(ctx, grayTime)
	b.Server.SetFaults(backendstandin.Faults{})
	return nil
}

// answersLost submits a ticket while the answers to writes are lost.
func (s *soak) answersLost(ctx context.Context) error {
	s.fleet.Platform.SetFaults(standin.Faults{DropWriteResponses: 2})
	s.submit(ctx, s.floorTicket(), s.pick())
	s.fleet.Platform.SetFaults(standin.Faults{})
	return nil
}

// race lets two operators submit different tickets with one number at two instances.
func (s *soak) race(ctx context.Context) error {
	a, b := s.floorTicket(), s.floorTicket()
	b.Number = a.Number
	s.next--
	first, second := s.pick(), s.pick()
	done := make(chan ticket.Record, 1)
	go func() { done <- s.trySubmit(ctx, b, second) }()
	ra := s.trySubmit(ctx, a, first)
	rb := <-done
	s.accepted(ra)
	s.accepted(rb)
	return nil
}

// floorTicket is a ticket that sets another floor.
func (s *soak) floorTicket() *ticket.Ticket {
	t := &ticket.Ticket{Number: s.next, Services: map[string]*ticket.Service{serviceName: {Floor: s.random.Float64() / 2}}}
	s.next++
	return t
}

func (s *soak) submit(ctx context.Context, t *ticket.Ticket, n int) {
	s.accepted(s.trySubmit(ctx, t, n))
}

const submitTries = 20

// trySubmit submits a ticket again until its outcome is known; the zero record stands for a refusal.
func (s *soak) trySubmit(ctx context.Context, t *ticket.Ticket, n int) ticket.Record {
	for range submitTries {
		record, err := s.fleet.SubmitTicket(ctx, n, t)
		switch result.CodeOf(err) {
		case result.OK:
			return record
		case result.TicketNumberUsed, result.TicketOutdated:
			return ticket.Record{}
		}
		wait(ctx, s.options.FaultInterval)
	}
	return ticket.Record{}
}

func (s *soak) accepted(r ticket.Record) {
	if r.Revision == 0 {
		return
	}
	s.report.AcceptedTickets++
	s.last = max(s.last, r.Revision)
}
