package instance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/authority"
	"amaranthstile/event"
	"amaranthstile/gossip"
	"amaranthstile/internal/owner"
	"amaranthstile/internal/wait"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

// The methods by which instances exchange their knowledge of the changes. Standing is the right to act for client
// accounts; an instance has it while it holds a credit, which is a lease with a fixed duration.
const (
	// methodKnowledge asks a witness which changes it knows.
	methodKnowledge link.Method = "standing.word"
	// methodHold asks a witness to hold a change as pending, since it may be accepted.
	methodHold link.Method = "standing.hold"
	// methodCredit asks an instance for the rest of its credit.
	methodCredit link.Method = "standing.credit"
)

const (
	// standingCallTimeout bounds one call for knowledge or for a credit.
	standingCallTimeout = time.Second
	// announceTimeout bounds the announcement of a change.
	announceTimeout = 3 * time.Second
	// firstCreditTimeout bounds how long a starting instance waits for a credit before it takes requests.
	firstCreditTimeout = 5 * time.Second
)

// knowledgeRequest asks a witness, identified by its ID, for its knowledge. A different process at the same address
// refuses the request, which shows that the witness has ended.
type knowledgeRequest struct {
	Witness membership.ID `json:"witness"`
}

// holdRequest asks a witness to hold a change as pending.
type holdRequest struct {
	Witness membership.ID `json:"witness"`
	Entry   ticket.Entry  `json:"entry"`
}

// standingManager owns the standing of the instance and makes the calls that maintain it. The request path reads
// creditEnd.
type standingManager struct {
	owner   *owner.Owner
	machine *authority.Lease // accessed only by the owner
	terms   authority.Timings
	self    membership.Record
	members *gossip.Members
	client  *link.ControlClient
	event   *event.Logger
	// applyPending publishes the view restricted by the pending changes, and returns once requests read it.
	applyPending func(pending []ticket.Entry)
	// fetchFrom brings the configuration to the revision of another instance.
	fetchFrom func(ctx context.Context, r *membership.Record)

	creditEnd     atomic.Int64 // when the credit ends, on the clock of standing.Now; 0 if there was no credit yet
	withoutCredit atomic.Bool  // whether the instance had no credit when that was last logged
	mu            sync.Mutex
	changed       chan struct{}
}

func newStandingManager(o *owner.Owner, self membership.Record, m *gossip.Members, client *link.ControlClient, e *event.Logger) *standingManager {
	terms := authority.DefaultTimings()
	s := &standingManager{
		owner:   o,
		machine: authority.NewLease(string(self.ID), terms),
		terms:   terms,
		self:    self,
		members: m,
		client:  client,
		event:   e,
		changed: make(chan struct{}),
	}
	s.withoutCredit.Store(true)
	return s
}

// mayAct reports whether the instance has standing at the given time.
func (s *standingManager) mayAct(now time.Duration) bool { return int64(now) < s.creditEnd.Load() }

// Check implements contract.Gate.
func (s *standingManager) Check() error {
	if s.mayAct(authority.BootTime()) {
		return nil
	}
	return result.New(result.NoStanding, "this instance has no current credit, so it may not know the configuration in force")
}

// Changed implements contract.Gate.
func (s *standingManager) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// waitForFirstCredit returns a channel that is closed once the instance has standing for the first time, or after
// firstCreditTimeout.
func (s *standingManager) waitForFirstCredit(ctx context.Context) <-chan struct{} {
	out := make(chan struct{})
	changed := s.Changed()
	go func() {
		defer close(out)
		ctx, cancel := context.WithTimeout(ctx, firstCreditTimeout)
		defer cancel()
		for s.Check() != nil && ctx.Err() == nil {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			changed = s.Changed()
		}
	}()
	return out
}

// update runs f on the machine and publishes the result. It always publishes the restricted view before the credit
// that depends on it. f reports whether it added pending changes.
func (s *standingManager) update(f func(m *authority.Lease) (newPending bool)) {
	s.owner.Do(func() { s.updateInOwner(f) })
}

// updateInOwner is update for code that already runs in the owner.
func (s *standingManager) updateInOwner(f func(m *authority.Lease) (newPending bool)) {
	if f(s.machine) {
		s.applyPending(s.machine.Pending())
	}
	until, ok := s.machine.Expiry()
	if !ok || s.creditEnd.Swap(int64(until)) == int64(until) {
		return
	}
	if s.withoutCredit.Load() && s.mayAct(authority.BootTime()) {
		s.withoutCredit.Store(false)
		s.event.Log(event.StandingGained)
		s.mu.Lock()
		close(s.changed)
		s.changed = make(chan struct{})
		s.mu.Unlock()
	}
}

// reportingNewPending returns a function for update that runs f and reports whether f added pending changes.
func reportingNewPending(f func(m *authority.Lease)) func(*authority.Lease) bool {
	return func(m *authority.Lease) bool {
		before := m.Stats().Pending
		f(m)
		return m.Stats().Pending > before
	}
}

// applied records that a revision is in force here and that requests already read it. It does not wait for the owner.
func (s *standingManager) applied(r ticket.Revision, roster *ticket.Roster) {
	s.owner.DoAsync(func() {
		s.updateInOwner(func(m *authority.Lease) bool {
			m.SetApplied(r, roster)
			return false
		})
	})
}

// handleKnowledge returns the knowledge of this instance to another one.
func (s *standingManager) handleKnowledge(_ context.Context, c knowledgeRequest) (any, error) {
	if c.Witness != s.self.ID {
		return nil, result.New(result.WitnessGone, "the process %s no longer runs at this address", c.Witness)
	}
	var k authority.KnownChanges
	s.owner.Do(func() { k = s.machine.KnownChanges() })
	return k, nil
}

// handleHold holds a change as pending.
func (s *standingManager) handleHold(_ context.Context, c holdRequest) (any, error) {
	if c.Witness != s.self.ID {
		return nil, result.New(result.WitnessGone, "the process %s no longer runs at this address", c.Witness)
	}
	if (c.Entry.Ticket == nil) == (c.Entry.Roster == nil) {
		return nil, result.New(result.RequestInvalid, "an entry must hold either a ticket or a roster")
	}
	s.update(func(m *authority.Lease) bool { return m.AddPending([]ticket.Entry{c.Entry}) })
	return struct{}{}, nil
}

// handleCredit returns the rest of this instance's credit to another one.
func (s *standingManager) handleCredit(_ context.Context, _ struct{}) (any, error) {
	var c authority.RelayedLease
	var ok bool
	s.owner.Do(func() { c, ok = s.machine.Relay(authority.BootTime()) })
	if !ok {
		return nil, result.New(result.NoStanding, "this instance has no credit to pass on")
	}
	return c, nil
}

// run renews the credit until ctx ends.
func (s *standingManager) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.logIfLost()
		if s.renew(ctx) {
			wait.Sleep(ctx, s.terms.RoundInterval)
			continue
		}
		wait.Sleep(ctx, s.terms.RelayInterval)
	}
}

// logIfLost logs once that the credit has ended.
func (s *standingManager) logIfLost() {
	if !s.mayAct(authority.BootTime()) && !s.withoutCredit.Swap(true) {
		s.event.Log(event.StandingLost)
	}
}

// renew runs a round if this instance is a witness, and otherwise asks other instances for a credit. It reports
// whether this instance is a witness.
func (s *standingManager) renew(ctx context.Context) bool {
	var witness bool
	var roster []ticket.RosterMember
	s.owner.Do(func() {
		witness = s.machine.IsWitness()
		roster = s.machine.Witnesses()
	})
	if witness {
		s.runRound(ctx)
		return true
	}
	if len(roster) > 0 && !s.requestCredit(ctx, roster) {
		s.runRound(ctx)
	}
	return false
}

// runRound asks all witnesses for their knowledge concurrently.
func (s *standingManager) runRound(ctx context.Context) {
	var number uint64
	var ask []ticket.RosterMember
	s.update(func(m *authority.Lease) bool {
		number, ask = m.StartRound(authority.BootTime())
		return false
	})
	ctx, cancel := context.WithTimeout(ctx, standingCallTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, w := range ask {
		calls.Go(func() {
			var k authority.KnownChanges
			err := s.client.Call(ctx, w.Control.String(), methodKnowledge, knowledgeRequest{Witness: membership.ID(w.ID)}, &k)
			if err != nil {
				return
			}
			s.update(reportingNewPending(func(m *authority.Lease) { m.HandleReply(number, w.ID, k) }))
			s.catchUp(ctx, &membership.Record{ID: membership.ID(w.ID), Control: w.Control})
		})
	}
	calls.Wait()
}

// requestCredit asks the sources for a credit until one of them grants it.
func (s *standingManager) requestCredit(ctx context.Context, witnesses []ticket.RosterMember) bool {
	var domain, ids []string
	records := s.members.Directory().Records()
	for id, r := range records {
		if r.Domain == s.self.Domain {
			domain = append(domain, string(id))
		}
	}
	witnessRecords := make(map[string]*membership.Record)
	for _, w := range witnesses {
		ids = append(ids, w.ID)
		witnessRecords[w.ID] = &membership.Record{ID: membership.ID(w.ID), Control: w.Control}
	}
	const maxSources = 3
	sources := authority.RenewalSources(string(s.self.ID), domain, ids)
	for _, id := range sources[:min(maxSources, len(sources))] {
		r := witnessRecords[id]
		if r == nil {
			r = records[membership.ID(id)]
		}
		if s.requestCreditFrom(ctx, r) {
			return true
		}
	}
	return false
}

func (s *standingManager) requestCreditFrom(ctx context.Context, r *membership.Record) bool {
	call, cancel := context.WithTimeout(ctx, standingCallTimeout)
	defer cancel()
	sent := authority.BootTime()
	var c authority.RelayedLease
	if err := s.client.Call(call, r.Control.String(), methodCredit, struct{}{}, &c); err != nil {
		return false
	}
	s.update(reportingNewPending(func(m *authority.Lease) { m.AcceptRelayed(sent, c) }))
	s.catchUp(ctx, r)
	return true
}

// catchUp fetches the revision that a credit depends on, if any, from the instance that has it.
func (s *standingManager) catchUp(ctx context.Context, r *membership.Record) {
	var needs ticket.Revision
	s.owner.Do(func() { needs = s.machine.RequiredRevision() })
	if needs > 0 {
		s.fetchFrom(ctx, r)
	}
}

// StandingState is the standing of an instance in a dump.
type StandingState struct {
	// CreditMillis is the remaining time of the credit, 0 if there is none.
	CreditMillis int64           `json:"creditMillis"`
	Witness      bool            `json:"witness"`
	Epoch        uint64          `json:"epoch"`
	Witnesses    int             `json:"witnesses"`
	Homes        int             `json:"homes"`
	Counts       authority.Stats `json:"counts"`
	Pending      []pendingChange `json:"pending,omitempty"`
}

// pendingChange identifies a change that may have been accepted.
type pendingChange struct {
	Revision ticket.Revision `json:"revision"`
	Ticket   uint64          `json:"ticket,omitempty"`
	Epoch    uint64          `json:"epoch,omitempty"`
}

func (s *standingManager) state(roster *ticket.Roster) (out StandingState) {
	s.owner.Do(func() {
		out.Witness = s.machine.IsWitness()
		out.Counts = s.machine.Stats()
		for _, e := range s.machine.Pending() {
			p := pendingChange{Revision: e.Revision}
			if e.Ticket != nil {
				p.Ticket = e.Ticket.Number
			}
			if e.Roster != nil {
				p.Epoch = e.Roster.Epoch
			}
			out.Pending = append(out.Pending, p)
		}
	})
	out.CreditMillis = max((time.Duration(s.creditEnd.Load()) - authority.BootTime()).Milliseconds(), 0)
	if roster != nil {
		out.Epoch, out.Witnesses, out.Homes = roster.Epoch, len(roster.Witnesses), len(roster.Coordinators)
	}
	return out
}
