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
	// revisionCheckInterval is the time between two checks of the instances' revisions.
	revisionCheckInterval = 100 * time.Millisecond
	// revocationLimit is how soon every instance must reject a revoked key.
	revocationLimit = 5 * time.Second
	// submitTimeout is how long the last ticket may take to be accepted after the faults have ended.
	submitTimeout = 60 * time.Second
)

// checkRevisions counts how often an instance goes back to an earlier revision, until ctx ends.
func (s *soak) checkRevisions(ctx context.Context) {
	seen := make(map[*instance.Instance]uint64)
	for ctx.Err() == nil {
		for _, i := range s.fleet.Running() {
			r := i.Revision()
			if r < seen[i] {
				s.report.RevisionRegressions++
			}
			seen[i] = r
		}
		wait(ctx, revisionCheckInterval)
	}
}

// revokeKey revokes the key of the first account and counts the requests with that key that still run after
// revocationLimit.
func (s *soak) revokeKey(ctx context.Context) error {
	a := s.loads[0]
	t := &ticket.Ticket{Number: s.nextNumber, Accounts: map[string]*ticket.Account{a.name: {Rate: a.rate, Burst: a.burst}}}
	limitCtx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	record := ticket.Record{}
	for record.Revision == 0 && limitCtx.Err() == nil {
		record = s.submitWithRetry(limitCtx, t, s.pickRunning())
	}
	if record.Revision == 0 {
		return result.New(result.TicketOutcomeUnknown, "the last ticket was not accepted")
	}
	s.recordAccepted(record)
	wait(ctx, revocationLimit)
	client := fleet.NewClient("withdrawn", a.key())
	for _, i := range s.fleet.Running() {
		limitCtx, cancel := context.WithTimeout(ctx, revocationLimit)
		call := client.Send(limitCtx, i.Addresses().Clients.AddrPort, "GET", "/"+serviceName+"/turn")
		cancel()
		if call.Run == result.Ran {
			s.report.RanAfterRevocation++
		}
	}
	return nil
}

// checkAll compares the responses that clients received with the requests that ran, checks the rate limits, and waits
// until the running instances apply the last accepted ticket.
func (s *soak) checkAll(ctx context.Context) {
	s.report.Outcomes.Codes = make(map[result.Code]int)
	for _, a := range s.loads {
		s.report.Violations.Add(a.callLog.Check(s.fleet))
		counts := a.callLog.CountOutcomes()
		if float64(counts.Succeeded+counts.Failed) > a.rate*a.elapsed.Seconds()+float64(a.burst) {
			s.report.AccountsOverRate = append(s.report.AccountsOverRate, a.name)
		}
		s.addOutcomes(counts)
	}
	limitCtx, cancel := context.WithTimeout(ctx, recoveryTime)
	defer cancel()
	if s.fleet.WaitRevision(limitCtx, s.lastRevision) != nil {
		s.report.MissingLastTicket++
	}
}

// addOutcomes adds the outcome counts of one account to the report.
func (s *soak) addOutcomes(counts fleet.OutcomeCounts) {
	sum := &s.report.Outcomes
	sum.Succeeded += counts.Succeeded
	sum.Failed += counts.Failed
	sum.NoResponse += counts.NoResponse
	for code := range maps.Keys(counts.Codes) {
		sum.Codes[code] += counts.Codes[code]
	}
}
