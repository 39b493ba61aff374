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

// The methods by which instances exchange their knowledge of the changes. An instance may act for client accounts only
// while it holds an authority lease, which has a fixed duration.
const (
	// methodKnowledge asks a witness which changes it knows.
	methodKnowledge link.Method = "standing.word"
	// methodHold asks a witness to hold a change as pending, since it may be accepted.
	methodHold link.Method = "standing.hold"
	// methodRelayLease asks an instance to pass on the rest of its authority lease.
	methodRelayLease link.Method = "standing.credit"
)

const (
	// authorityCallTimeout bounds one call for knowledge or for an authority lease.
	authorityCallTimeout = time.Second
	// announceTimeout bounds the announcement of a change.
	announceTimeout = 3 * time.Second
	// firstLeaseTimeout bounds how long a starting instance waits for an authority lease before it takes requests.
	firstLeaseTimeout = 5 * time.Second
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

// authorityManager owns the authority lease of the instance and makes the calls that renew it. The request path reads
// leaseEnd.
type authorityManager struct {
	owner   *owner.Owner
	lease   *authority.Lease // accessed only by the owner
	timings authority.Timings
	self    membership.Record
	members *gossip.Members
	client  *link.ControlClient
	event   *event.Logger
	// applyPending publishes the view restricted by the pending changes, and returns once requests read it.
	applyPending func(pending []ticket.Entry)
	// fetchFrom brings the configuration to the revision of another instance.
	fetchFrom func(ctx context.Context, r *membership.Record)

	leaseEnd     atomic.Int64 // when the lease ends, on the clock of authority.BootTime; 0 if there was no lease yet
	withoutLease atomic.Bool  // whether the instance had no lease when that was last logged
	mu           sync.Mutex
	changed      chan struct{}
}

func newAuthorityManager(o *owner.Owner, self membership.Record, members *gossip.Members, client *link.ControlClient, e *event.Logger) *authorityManager {
	timings := authority.DefaultTimings()
	m := &authorityManager{
		owner:   o,
		lease:   authority.NewLease(string(self.ID), timings),
		timings: timings,
		self:    self,
		members: members,
		client:  client,
		event:   e,
		changed: make(chan struct{}),
	}
	m.withoutLease.Store(true)
	return m
}

// mayAct reports whether the instance holds an authority lease at the given time.
func (m *authorityManager) mayAct(now time.Duration) bool { return int64(now) < m.leaseEnd.Load() }

// Check implements quota.Gate.
func (m *authorityManager) Check() error {
	if m.mayAct(authority.BootTime()) {
		return nil
	}
	return result.New(result.NoStanding, "this instance holds no authority lease, so it may not know the configuration in force")
}

// Changed implements quota.Gate.
func (m *authorityManager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// waitForFirstLease returns a channel that is closed once the instance holds its first authority lease, or after
// firstLeaseTimeout.
func (m *authorityManager) waitForFirstLease(ctx context.Context) <-chan struct{} {
	out := make(chan struct{})
	changed := m.Changed()
	go func() {
		defer close(out)
		ctx, cancel := context.WithTimeout(ctx, firstLeaseTimeout)
		defer cancel()
		for m.Check() != nil && ctx.Err() == nil {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			changed = m.Changed()
		}
	}()
	return out
}

// update runs f on the lease and publishes the result. It always publishes the restricted view before the new expiry
// of the lease, which depends on it. f reports whether it added pending changes.
func (m *authorityManager) update(f func(l *authority.Lease) (newPending bool)) {
	m.owner.Do(func() { m.updateInOwner(f) })
}

// updateInOwner is update for code that already runs in the owner.
func (m *authorityManager) updateInOwner(f func(l *authority.Lease) (newPending bool)) {
	if f(m.lease) {
		m.applyPending(m.lease.Pending())
	}
	until, ok := m.lease.Expiry()
	if !ok || m.leaseEnd.Swap(int64(until)) == int64(until) {
		return
	}
	if m.withoutLease.Load() && m.mayAct(authority.BootTime()) {
		m.withoutLease.Store(false)
		m.event.Log(event.StandingGained)
		m.mu.Lock()
		close(m.changed)
		m.changed = make(chan struct{})
		m.mu.Unlock()
	}
}

// reportingNewPending returns a function for update that runs f and reports whether f added pending changes.
func reportingNewPending(f func(l *authority.Lease)) func(*authority.Lease) bool {
	return func(l *authority.Lease) bool {
		before := l.Stats().Pending
		f(l)
		return l.Stats().Pending > before
	}
}

// applied records that a revision is in force here and that requests already read it. It does not wait for the owner.
func (m *authorityManager) applied(r ticket.Revision, roster *ticket.Roster) {
	m.owner.DoAsync(func() {
		m.updateInOwner(func(l *authority.Lease) bool {
			l.SetApplied(r, roster)
			return false
		})
	})
}

// handleKnowledge returns the knowledge of this instance to another one.
func (m *authorityManager) handleKnowledge(_ context.Context, r knowledgeRequest) (any, error) {
	if r.Witness != m.self.ID {
		return nil, result.New(result.WitnessGone, "the process %s no longer runs at this address", r.Witness)
	}
	var k authority.KnownChanges
	m.owner.Do(func() { k = m.lease.KnownChanges() })
	return k, nil
}

// handleHold holds a change as pending.
func (m *authorityManager) handleHold(_ context.Context, r holdRequest) (any, error) {
	if r.Witness != m.self.ID {
		return nil, result.New(result.WitnessGone, "the process %s no longer runs at this address", r.Witness)
	}
	if (r.Entry.Ticket == nil) == (r.Entry.Roster == nil) {
		return nil, result.New(result.RequestInvalid, "an entry must hold either a ticket or a roster")
	}
	m.update(func(l *authority.Lease) bool { return l.AddPending([]ticket.Entry{r.Entry}) })
	return struct{}{}, nil
}

// handleRelayLease passes the rest of this instance's authority lease on to another one.
func (m *authorityManager) handleRelayLease(_ context.Context, _ struct{}) (any, error) {
	var relayed authority.RelayedLease
	var ok bool
	m.owner.Do(func() { relayed, ok = m.lease.Relay(authority.BootTime()) })
	if !ok {
		return nil, result.New(result.NoStanding, "this instance has no authority lease to pass on")
	}
	return relayed, nil
}

// run renews the authority lease until ctx ends.
func (m *authorityManager) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.logIfLost()
		if m.renew(ctx) {
			wait.Sleep(ctx, m.timings.RoundInterval)
			continue
		}
		wait.Sleep(ctx, m.timings.RelayInterval)
	}
}

// logIfLost logs once that the authority lease has ended.
func (m *authorityManager) logIfLost() {
	if !m.mayAct(authority.BootTime()) && !m.withoutLease.Swap(true) {
		m.event.Log(event.StandingLost)
	}
}

// renew runs a round if this instance is a witness, and otherwise asks other instances for an authority lease. It
// reports whether this instance is a witness.
func (m *authorityManager) renew(ctx context.Context) bool {
	var witness bool
	var roster []ticket.RosterMember
	m.owner.Do(func() {
		witness = m.lease.IsWitness()
		roster = m.lease.Witnesses()
	})
	if witness {
		m.runRound(ctx)
		return true
	}
	if len(roster) > 0 && !m.requestLease(ctx, roster) {
		m.runRound(ctx)
	}
	return false
}

// runRound asks all witnesses for their knowledge concurrently.
func (m *authorityManager) runRound(ctx context.Context) {
	var number uint64
	var witnesses []ticket.RosterMember
	m.update(func(l *authority.Lease) bool {
		number, witnesses = l.StartRound(authority.BootTime())
		return false
	})
	ctx, cancel := context.WithTimeout(ctx, authorityCallTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, w := range witnesses {
		calls.Go(func() {
			var k authority.KnownChanges
			err := m.client.Call(ctx, w.Control.String(), methodKnowledge, knowledgeRequest{Witness: membership.ID(w.ID)}, &k)
			if err != nil {
				return
			}
			m.update(reportingNewPending(func(l *authority.Lease) { l.HandleReply(number, w.ID, k) }))
			m.catchUp(ctx, &membership.Record{ID: membership.ID(w.ID), Control: w.Control})
		})
	}
	calls.Wait()
}

// requestLease asks other instances for an authority lease, one after another, until one of them grants it.
func (m *authorityManager) requestLease(ctx context.Context, witnesses []ticket.RosterMember) bool {
	var domain, ids []string
	records := m.members.Directory().Records()
	for id, r := range records {
		if r.Domain == m.self.Domain {
			domain = append(domain, string(id))
		}
	}
	witnessRecords := make(map[string]*membership.Record)
	for _, w := range witnesses {
		ids = append(ids, w.ID)
		witnessRecords[w.ID] = &membership.Record{ID: membership.ID(w.ID), Control: w.Control}
	}
	const maxSources = 3
	sources := authority.RenewalSources(string(m.self.ID), domain, ids)
	for _, id := range sources[:min(maxSources, len(sources))] {
		r := witnessRecords[id]
		if r == nil {
			r = records[membership.ID(id)]
		}
		if m.requestLeaseFrom(ctx, r) {
			return true
		}
	}
	return false
}

func (m *authorityManager) requestLeaseFrom(ctx context.Context, r *membership.Record) bool {
	call, cancel := context.WithTimeout(ctx, authorityCallTimeout)
	defer cancel()
	sent := authority.BootTime()
	var relayed authority.RelayedLease
	if err := m.client.Call(call, r.Control.String(), methodRelayLease, struct{}{}, &relayed); err != nil {
		return false
	}
	m.update(reportingNewPending(func(l *authority.Lease) { l.AcceptRelayed(sent, relayed) }))
	m.catchUp(ctx, r)
	return true
}

// catchUp fetches the revision that the authority lease depends on, if any, from the instance that has it.
func (m *authorityManager) catchUp(ctx context.Context, r *membership.Record) {
	var needs ticket.Revision
	m.owner.Do(func() { needs = m.lease.RequiredRevision() })
	if needs > 0 {
		m.fetchFrom(ctx, r)
	}
}

// StandingState is the state of an instance's authority lease in a dump.
type StandingState struct {
	// CreditMillis is the remaining time of the lease, 0 if there is none.
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

func (m *authorityManager) state(roster *ticket.Roster) (out StandingState) {
	m.owner.Do(func() {
		out.Witness = m.lease.IsWitness()
		out.Counts = m.lease.Stats()
		for _, e := range m.lease.Pending() {
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
	out.CreditMillis = max((time.Duration(m.leaseEnd.Load()) - authority.BootTime()).Milliseconds(), 0)
	if roster != nil {
		out.Epoch, out.Witnesses, out.Homes = roster.Epoch, len(roster.Witnesses), len(roster.Coordinators)
	}
	return out
}
