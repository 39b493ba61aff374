package soak

import (
	"context"
	"time"

	backendstandin "amaranthstile/backend/standin"
	"amaranthstile/result"
	"amaranthstile/store/standin"
	"amaranthstile/ticket"
)

// fault is one kind of fault. run returns when the fault is over, except for a one-way partition, which is still in effect
// when run returns.
type fault struct {
	name string
	run  func(ctx context.Context, s *soak) error
}

const (
	partitionDuration     = 3 * time.Second
	platformFaultDuration = 3 * time.Second
	backendFaultDuration  = 2 * time.Second
	// stopTimeout is the time that a planned stop may take.
	stopTimeout     = 20 * time.Second
	slowDelayMillis = 300
)

// faults are the kinds of faults that a soak draws from.
var faults = []fault{
	{"kill", func(_ context.Context, s *soak) error {
		return s.replaceInstance(func(n int) { s.fleet.Instances[n].Kill() })
	}},
	{"planned stop", func(ctx context.Context, s *soak) error {
		return s.replaceInstance(func(n int) {
			ctx, cancel := context.WithTimeout(ctx, stopTimeout)
			defer cancel()
			_ = s.fleet.Instances[n].Stop(ctx)
		})
	}},
	{"one-way partition", func(_ context.Context, s *soak) error { return s.partitionOneWay() }},
	{"platform unavailable", func(ctx context.Context, s *soak) error {
		return s.failPlatform(ctx, standin.Faults{Unavailable: true})
	}},
	{"platform slow", func(ctx context.Context, s *soak) error {
		return s.failPlatform(ctx, standin.Faults{DelayMillis: slowDelayMillis})
	}},
	{"stale reads", func(ctx context.Context, s *soak) error {
		return s.failPlatform(ctx, standin.Faults{StaleReads: true})
	}},
	{"write responses lost", func(ctx context.Context, s *soak) error { return s.submitWithLostResponses(ctx) }},
	{"concurrent operators", func(ctx context.Context, s *soak) error { return s.submitConcurrently(ctx) }},
	{"failing backend server", func(ctx context.Context, s *soak) error {
		return s.failBackend(ctx, backendstandin.Faults{ErrorPercent: 100})
	}},
	{"mismatched responses", func(ctx context.Context, s *soak) error {
		return s.failBackend(ctx, backendstandin.Faults{Crossed: true})
	}},
	{"truncated responses", func(ctx context.Context, s *soak) error {
		return s.failBackend(ctx, backendstandin.Faults{Truncate: true})
	}},
	{"hanging backend server", func(ctx context.Context, s *soak) error {
		return s.failBackend(ctx, backendstandin.Faults{Hang: true})
	}},
}

// pickRunning returns the index of a random running instance.
func (s *soak) pickRunning() int {
	for {
		n := s.random.IntN(len(s.fleet.Instances))
		if s.fleet.Instances[n].Serving() {
			return n
		}
	}
}

// replaceInstance terminates a random running instance with the given function, starts a new one and registers the
// backend servers there.
func (s *soak) replaceInstance(terminate func(n int)) error {
	n := s.pickRunning()
	terminate(n)
	if _, err := s.fleet.AddInstance(); err != nil {
		return err
	}
	_ = s.fleet.MoveBackends(n, len(s.fleet.Instances)-1) // failed registrations are retried in the background
	return nil
}

// partitionOneWay blocks the direction from one random instance to another for partitionDuration.
func (s *soak) partitionOneWay() error {
	from, to := s.pickRunning(), s.pickRunning()
	if from == to {
		return nil
	}
	s.fleet.Partitions.Set(from, to, true)
	time.AfterFunc(partitionDuration, func() { s.fleet.Partitions.Set(from, to, false) })
	return nil
}

// failPlatform makes the platform fail for platformFaultDuration.
func (s *soak) failPlatform(ctx context.Context, f standin.Faults) error {
	s.fleet.Platform.SetFaults(f)
	wait(ctx, platformFaultDuration)
	s.fleet.Platform.SetFaults(standin.Faults{})
	return nil
}

// failBackend makes a random backend server fail for backendFaultDuration.
func (s *soak) failBackend(ctx context.Context, f backendstandin.Faults) error {
	b := s.fleet.Backends[s.random.IntN(len(s.fleet.Backends))]
	b.Server.SetFaults(f)
	wait(ctx, backendFaultDuration)
	b.Server.SetFaults(backendstandin.Faults{})
	return nil
}

// submitWithLostResponses submits a ticket while the platform performs the next two writes but drops their responses.
func (s *soak) submitWithLostResponses(ctx context.Context) error {
	s.fleet.Platform.SetFaults(standin.Faults{DropWriteResponses: 2})
	s.submit(ctx, s.floorTicket(), s.pickRunning())
	s.fleet.Platform.SetFaults(standin.Faults{})
	return nil
}

// submitConcurrently submits two different tickets with the same number at the same time, like two operators that
// conflict. Both tickets may go to the same instance.
func (s *soak) submitConcurrently(ctx context.Context) error {
	firstTicket, secondTicket := s.floorTicket(), s.floorTicket()
	secondTicket.Number = firstTicket.Number
	s.nextNumber--
	firstInstance, secondInstance := s.pickRunning(), s.pickRunning()
	secondDone := make(chan ticket.Record, 1)
	go func() { secondDone <- s.submitWithRetry(ctx, secondTicket, secondInstance) }()
	firstRecord := s.submitWithRetry(ctx, firstTicket, firstInstance)
	secondRecord := <-secondDone
	s.recordAccepted(firstRecord)
	s.recordAccepted(secondRecord)
	return nil
}

// floorTicket returns a ticket that sets a random floor for the service serviceName.
func (s *soak) floorTicket() *ticket.Ticket {
	t := &ticket.Ticket{Number: s.nextNumber, Services: map[string]*ticket.Service{serviceName: {Floor: s.random.Float64() / 2}}}
	s.nextNumber++
	return t
}

// submit submits a ticket at instance n and records it if it is accepted.
func (s *soak) submit(ctx context.Context, t *ticket.Ticket, n int) {
	s.recordAccepted(s.submitWithRetry(ctx, t, n))
}

// maxSubmitAttempts bounds the attempts to submit a ticket.
const maxSubmitAttempts = 20

// submitWithRetry submits a ticket at instance n and retries until the outcome is known, with at most
// maxSubmitAttempts attempts. It returns the zero record if the ticket was refused or its outcome remains unknown.
func (s *soak) submitWithRetry(ctx context.Context, t *ticket.Ticket, n int) ticket.Record {
	for range maxSubmitAttempts {
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

// recordAccepted records an accepted ticket. It ignores the zero record.
func (s *soak) recordAccepted(r ticket.Record) {
	if r.Revision == 0 {
		return
	}
	s.report.AcceptedTickets++
	s.lastRevision = max(s.lastRevision, r.Revision)
}
