package instance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/event"
	"amaranthstile/gossip"
	"amaranthstile/internal/owner"
	"amaranthstile/internal/wait"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/standing"
	"amaranthstile/ticket"
)

// The calls by which instances tell each other what they know.
const (
	// methodWord asks a witness what it knows.
	methodWord link.Method = "standing.word"
	// methodHold tells a witness of a change that may be accepted.
	methodHold link.Method = "standing.hold"
	// methodCredit asks for what is left of a credit.
	methodCredit link.Method = "standing.credit"
)

const (
	// wordTimeout bounds one call of a round.
	wordTimeout = time.Second
	// announceTimeout bounds the announcement of a change.
	announceTimeout = 3 * time.Second
	// firstWait bounds how long a starting instance waits for a credit before it takes requests.
	firstWait = 5 * time.Second
)

// wordCall asks a witness by its identity: another process at its address refuses, which shows that it ended.
type wordCall struct {
	Witness membership.ID `json:"witness"`
}

// holdCall tells a witness of a change.
type holdCall struct {
	Witness membership.ID `json:"witness"`
	Entry   ticket.Entry  `json:"entry"`
}

// standings owns the standing of the instance and makes its calls. The request path reads until.
type standings struct {
	owner   *owner.Owner
	machine *standing.AuthorityLease // touched in the owner only
	terms   standing.Timings
	self    membership.Record
	members *gossip.Members
	client  *link.ControlClient
	event   *event.Logger
	// restrict publishes the view under the pending changes and returns when requests read it.
	restrict func(pending []ticket.Entry)
	// fetch brings the configuration to the revision of another instance.
	fetch func(ctx context.Context, r *membership.Record)

	until   atomic.Int64 // when the credit ends, by standing.Now; 0 for none
	lacking atomic.Bool
	mu      sync.Mutex
	changed chan struct{}
}

func newStandings(o *owner.Owner, self membership.Record, m *gossip.Members, client *link.ControlClient, e *event.Logger) *standings {
	terms := standing.DefaultTimings()
	s := &standings{
		owner:   o,
		machine: standing.NewAuthorityLease(string(self.ID), terms),
		terms:   terms,
		self:    self,
		members: m,
		client:  client,
		event:   e,
		changed: make(chan struct{}),
	}
	s.lacking.Store(true)
	return s
}

// holds reports whether the instance may act now.
func (s *standings) holds(now time.Duration) bool { return int64(now) < s.until.Load() }

// Check implements contract.Gate.
func (s *standings) Check() error {
	if s.holds(standing.BootTime()) {
		return nil
	}
	return result.New(result.NoStanding, "this instance can't be sure that it knows what is in force")
}

// Changed implements contract.Gate.
func (s *standings) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// first is closed once the instance may act for the first time, or after firstWait.
func (s *standings) first(ctx context.Context) <-chan struct{} {
	out := make(chan struct{})
	changed := s.Changed()
	go func() {
		defer close(out)
		ctx, cancel := context.WithTimeout(ctx, firstWait)
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

// step changes the machine and publishes what follows: the restricted view always before the credit that needs it.
func (s *standings) step(f func(m *standing.AuthorityLease) (learned bool)) {
	s.owner.Do(func() { s.stepOwned(f) })
}

// stepOwned runs in the owner.
func (s *standings) stepOwned(f func(m *standing.AuthorityLease) (learned bool)) {
	if f(s.machine) {
		s.restrict(s.machine.Pending())
	}
	until, ok := s.machine.Expiry()
	if !ok || s.until.Swap(int64(until)) == int64(until) {
		return
	}
	if s.lacking.Load() && s.holds(standing.BootTime()) {
		s.lacking.Store(false)
		s.event.Log(event.StandingGained)
		s.mu.Lock()
		close(s.changed)
		s.changed = make(chan struct{})
		s.mu.Unlock()
	}
}

// learned runs f and reports whether it brought pending changes.
func learned(f func(m *standing.AuthorityLease)) func(*standing.AuthorityLease) bool {
	return func(m *standing.AuthorityLease) bool {
		before := m.Stats().Pending
		f(m)
		return m.Stats().Pending > before
	}
}

// applied tells that a revision is in force here; requests read it already. It does not wait.
func (s *standings) applied(r ticket.Revision, roster *ticket.Roster) {
	s.owner.DoAsync(func() {
		s.stepOwned(func(m *standing.AuthorityLease) bool {
			m.SetApplied(r, roster)
			return false
		})
	})
}

// answerWord answers the round of another instance.
func (s *standings) answerWord(_ context.Context, c wordCall) (any, error) {
	if c.Witness != s.self.ID {
		return nil, result.New(result.WitnessGone, "%s does not run here any more", c.Witness)
	}
	var k standing.KnownChanges
	s.owner.Do(func() { k = s.machine.KnownChanges() })
	return k, nil
}

// answerHold takes a change over as pending.
func (s *standings) answerHold(_ context.Context, c holdCall) (any, error) {
	if c.Witness != s.self.ID {
		return nil, result.New(result.WitnessGone, "%s does not run here any more", c.Witness)
	}
	if (c.Entry.Ticket == nil) == (c.Entry.Roster == nil) {
		return nil, result.New(result.RequestInvalid, "an entry holds a ticket or a roster")
	}
	s.step(func(m *standing.AuthorityLease) bool { return m.AddPending([]ticket.Entry{c.Entry}) })
	return struct{}{}, nil
}

// answerCredit passes on what is left of the credit.
func (s *standings) answerCredit(_ context.Context, _ struct{}) (any, error) {
	var c standing.RelayedLease
	var ok bool
	s.owner.Do(func() { c, ok = s.machine.Relay(standing.BootTime()) })
	if !ok {
		return nil, result.New(result.NoStanding, "no credit here")
	}
	return c, nil
}

// run renews the credit until ctx ends.
func (s *standings) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.noteLack()
		if s.renew(ctx) {
			wait.Sleep(ctx, s.terms.RoundInterval)
			continue
		}
		wait.Sleep(ctx, s.terms.RelayInterval)
	}
}

// noteLack logs that the credit ended.
func (s *standings) noteLack() {
	if !s.holds(standing.BootTime()) && !s.lacking.Swap(true) {
		s.event.Log(event.StandingLost)
	}
}

// renew runs a round at a witness, and asks a source for a credit elsewhere; it reports whether this is a witness.
func (s *standings) renew(ctx context.Context) bool {
	var witness bool
	var roster []ticket.RosterMember
	s.owner.Do(func() {
		witness = s.machine.IsWitness()
		roster = s.machine.Witnesses()
	})
	if witness {
		s.round(ctx)
		return true
	}
	if len(roster) > 0 && !s.borrow(ctx, roster) {
		s.round(ctx)
	}
	return false
}

// round asks the witnesses for their word, all at once.
func (s *standings) round(ctx context.Context) {
	var number uint64
	var ask []ticket.RosterMember
	s.step(func(m *standing.AuthorityLease) bool {
		number, ask = m.StartRound(standing.BootTime())
		return false
	})
	ctx, cancel := context.WithTimeout(ctx, wordTimeout)
	defer cancel()
	var asking sync.WaitGroup
	for _, w := range ask {
		asking.Go(func() {
			var k standing.KnownChanges
			err := s.client.Call(ctx, w.Control.String(), methodWord, wordCall{Witness: membership.ID(w.ID)}, &k)
			if err != nil {
				return
			}
			s.step(learned(func(m *standing.AuthorityLease) { m.HandleReply(number, w.ID, k) }))
			s.catchUp(ctx, &membership.Record{ID: membership.ID(w.ID), Control: w.Control})
		})
	}
	asking.Wait()
}

// borrow asks the sources for a credit until one gives it.
func (s *standings) borrow(ctx context.Context, witnesses []ticket.RosterMember) bool {
	var domain, ids []string
	records := s.members.Directory().Records()
	for id, r := range records {
		if r.Domain == s.self.Domain {
			domain = append(domain, string(id))
		}
	}
	at := make(map[string]*membership.Record)
	for _, w := range witnesses {
		ids = append(ids, w.ID)
		at[w.ID] = &membership.Record{ID: membership.ID(w.ID), Control: w.Control}
	}
	const tries = 3
	sources := standing.RenewalSources(string(s.self.ID), domain, ids)
	for _, id := range sources[:min(tries, len(sources))] {
		r := at[id]
		if r == nil {
			r = records[membership.ID(id)]
		}
		if s.borrowFrom(ctx, r) {
			return true
		}
	}
	return false
}

func (s *standings) borrowFrom(ctx context.Context, r *membership.Record) bool {
	call, cancel := context.WithTimeout(ctx, wordTimeout)
	defer cancel()
	sent := standing.BootTime()
	var c standing.RelayedLease
	if err := s.client.Call(call, r.Control.String(), methodCredit, struct{}{}, &c); err != nil {
		return false
	}
	s.step(learned(func(m *standing.AuthorityLease) { m.AcceptRelayed(sent, c) }))
	s.catchUp(ctx, r)
	return true
}

// catchUp brings what a claim needs from the instance that knows it.
func (s *standings) catchUp(ctx context.Context, r *membership.Record) {
	var needs ticket.Revision
	s.owner.Do(func() { needs = s.machine.RequiredRevision() })
	if needs > 0 {
		s.fetch(ctx, r)
	}
}

// StandingState is the standing of an instance in a dump.
type StandingState struct {
	// CreditMillis is what is left of the credit, 0 without one.
	CreditMillis int64           `json:"creditMillis"`
	Witness      bool            `json:"witness"`
	Epoch        uint64          `json:"epoch"`
	Witnesses    int             `json:"witnesses"`
	Homes        int             `json:"homes"`
	Counts       standing.Stats  `json:"counts"`
	Pending      []pendingChange `json:"pending,omitempty"`
}

// pendingChange names a change that may have been accepted.
type pendingChange struct {
	Revision ticket.Revision `json:"revision"`
	Ticket   uint64          `json:"ticket,omitempty"`
	Epoch    uint64          `json:"epoch,omitempty"`
}

func (s *standings) state(roster *ticket.Roster) (out StandingState) {
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
	out.CreditMillis = max((time.Duration(s.until.Load()) - standing.BootTime()).Milliseconds(), 0)
	if roster != nil {
		out.Epoch, out.Witnesses, out.Homes = roster.Epoch, len(roster.Witnesses), len(roster.Coordinators)
	}
	return out
}
