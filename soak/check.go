package soak

import (
	"context"
	"maps"
	"time"

	"amaranthstile/fleet"
	"amaranthstile/instance"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

const (
	watchEvery = 100 * time.Millisecond
	// withdrawBound is how soon a withdrawn key must stop everywhere.
	withdrawBound = 5 * time.Second
	// submitLimit is how long the last ticket may take once the faults are over.
	submitLimit = 60 * time.Second
)

// watchRevisions sees whether any instance ever goes back.
func (s *soak) watchRevisions(ctx context.Context) {
	seen := make(map[*instance.Instance]uint64)
	for ctx.Err() == nil {
		for _, i := range s.fleet.Running() {
			r := i.Revision()
			if r < seen[i] {
				s.report.RevisionRegressions++
			}
			seen[i] = r
		}
		wait(ctx, watchEvery)
	}
}

// withdrawKey withdraws the key of the first account, and counts the requests that run for it after the bound.
func (s *soak) withdrawKey(ctx context.Context) error {
	a := s.loads[0]
	t := &ticket.Ticket{Number: s.next, Accounts: map[string]*ticket.Account{a.name: {Rate: a.rate, Burst: a.burst}}}
	limit, cancel := context.WithTimeout(ctx, submitLimit)
	defer cancel()
	record := ticket.Record{}
	for record.Revision == 0 && limit.Err() == nil {
		record = s.trySubmit(limit, t, s.pick())
	}
	if record.Revision == 0 {
		return result.New(result.TicketOutcomeUnknown, "the last ticket was not accepted")
	}
	s.accepted(record)
	wait(ctx, withdrawBound)
	caller := fleet.NewClient("withdrawn", a.key())
	for _, i := range s.fleet.Running() {
		limit, cancel := context.WithTimeout(ctx, withdrawBound)
		call := caller.Send(limit, i.Addresses().Clients.AddrPort, "GET", "/"+serviceName+"/turn")
		cancel()
		if call.Run == result.Ran {
			s.report.RanAfterRevocation++
		}
	}
	return nil
}

// check compares what callers were told with what ran.
func (s *soak) check(ctx context.Context) {
	s.report.Outcomes.Codes = make(map[result.Code]int)
	for _, a := range s.loads {
		s.report.Violations.Add(a.ledger.Check(s.fleet))
		t := a.ledger.CountOutcomes()
		if float64(t.Succeeded+t.Failed) > a.rate*a.took.Seconds()+float64(a.burst) {
			s.report.AccountsOverRate = append(s.report.AccountsOverRate, a.name)
		}
		s.addTally(t)
	}
	limit, cancel := context.WithTimeout(ctx, quiet)
	defer cancel()
	if s.fleet.WaitRevision(limit, s.last) != nil {
		s.report.MissingLastTicket++
	}
}

func (s *soak) addTally(t fleet.OutcomeCounts) {
	sum := &s.report.Outcomes
	sum.Succeeded += t.Succeeded
	sum.Failed += t.Failed
	sum.NoResponse += t.NoResponse
	for code := range maps.Keys(t.Codes) {
		sum.Codes[code] += t.Codes[code]
	}
}
