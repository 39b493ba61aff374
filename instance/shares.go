package instance

import (
	"context"
	"sync"
	"time"

	"amaranthstile/contract"
	"amaranthstile/entry"
	"amaranthstile/gossip"
	"amaranthstile/internal/owner"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/standing"
	"amaranthstile/ticket"
)

const (
	// methodLease asks a home for leases of rate and burst.
	methodLease link.Method = "shares.lease"
	// methodNudge asks a holder of leases to send a request.
	methodNudge link.Method = "shares.nudge"
	// nudgeTimeout bounds a nudge.
	nudgeTimeout = time.Second
)

// shares owns the parts of client accounts that this instance hands out as a home, and admits the requests that
// come here from leases of other homes.
type shares struct {
	owner       *owner.Owner
	home        *contract.LeaseCoordinator // touched in the owner only
	entitlement *contract.Allocator        // touched in the owner only
	admitter    *contract.LeaseAdmitter
	standing    *standings
	members     *gossip.Members
	client      *link.ControlClient
	self        membership.ID
	base        *entry.Config  // what is in force; touched in the owner only
	pending     []ticket.Entry // touched in the owner only
	view        func() *entry.Config
	roster      func() *ticket.Roster

	mu        sync.Mutex
	addresses map[string]string // of homes, on rosters known so far
}

func newShares(o *owner.Owner, st *standings, m *gossip.Members, client *link.ControlClient, self membership.ID) *shares {
	terms := contract.DefaultLeaseTimings()
	s := &shares{
		owner:     o,
		home:      contract.NewLeaseCoordinator(string(self), terms),
		standing:  st,
		members:   m,
		client:    client,
		self:      self,
		addresses: make(map[string]string),
	}
	wait := st.terms.PropagationBound() + terms.SafeExpiry() + terms.SafeExpiry()>>8
	s.entitlement = contract.NewAllocator(string(self), standing.BootTime(), wait, s.wholes)
	s.admitter = contract.NewLeaseAdmitter(contract.LeaseAdmitterOptions{
		Self:    string(self),
		Timings: terms,
		Now:     standing.BootTime,
		Gate:    st,
		Lookup:  s.lookup,
		Call:    s.call,
	})
	return s
}

// whole returns the rate and burst of an account as requests read it now.
func (s *shares) whole(account string) contract.Quota { return wholeIn(s.view(), account) }

func wholeIn(v *entry.Config, account string) contract.Quota {
	if v == nil {
		return contract.Quota{}
	}
	a, ok := v.Accounts.Account(account)
	if !ok {
		return contract.Quota{}
	}
	return contract.QuotaOf(a)
}

// wholes returns what somebody may act on for an account; it runs in the owner.
func (s *shares) wholes(account string) contract.AccountQuotas {
	out := contract.AccountQuotas{Strict: s.whole(account), InForce: s.wholeInForce(account)}
	for _, e := range s.pending {
		if e.Ticket == nil {
			continue
		}
		if a := e.Ticket.Accounts[account]; a != nil {
			out.Pending = append(out.Pending, contract.QuotaOf(&contract.Account{Rate: a.Rate, Burst: a.Burst}))
		}
	}
	return out
}

func (s *shares) wholeInForce(account string) contract.Quota {
	return wholeIn(s.base, account)
}

// lookup implements contract.Lookup by the view and the roster in force.
func (s *shares) lookup(account string) (contract.Quota, []string) {
	whole := s.whole(account)
	var homes []string
	for _, p := range contract.Divide(account, whole, s.roster()) {
		homes = append(homes, p.Coordinator.ID)
	}
	return whole, homes
}

// update takes over what is in force, and what is pending. It returns when neither home nor holder acts on the old
// state. Accepted is the ticket that came in force now, nil for none.
func (s *shares) update(base *entry.Config, accepted *ticket.Ticket, pending []ticket.Entry) {
	roster := s.roster()
	var rosters []*ticket.Roster
	for _, e := range pending {
		if e.Roster != nil {
			rosters = append(rosters, e.Roster)
		}
	}
	s.place(append(rosters, roster))
	s.owner.Do(func() {
		now := standing.BootTime()
		s.entitlement.SetRoster(now, roster, rosters)
		last := s.base
		s.base, s.pending = base, pending
		if accepted == nil {
			return
		}
		for name := range accepted.Accounts {
			s.entitlement.RecordChange(now, name, wholeIn(last, name), wholeIn(base, name))
		}
	})
	s.admitter.Refresh()
}

// place notes the addresses of the homes on rosters.
func (s *shares) place(rosters []*ticket.Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rosters {
		if r == nil {
			continue
		}
		for _, h := range r.Coordinators {
			s.addresses[h.ID] = h.Control.String()
		}
	}
}

// call asks a home, which may be this instance.
func (s *shares) call(ctx context.Context, home string, r contract.LeaseRequest) (contract.LeaseReply, error) {
	if home == string(s.self) {
		return s.exchange(r)
	}
	s.mu.Lock()
	addr, ok := s.addresses[home]
	s.mu.Unlock()
	if !ok {
		return contract.LeaseReply{}, result.New(result.PeerUnknown, "no home %s", home)
	}
	var reply contract.LeaseReply
	err := s.client.Call(ctx, addr, methodLease, r, &reply)
	return reply, err
}

// answerLease answers the request of a holder.
func (s *shares) answerLease(_ context.Context, r contract.LeaseRequest) (any, error) {
	return s.exchange(r)
}

// exchange lets the home decide, if it may act.
func (s *shares) exchange(r contract.LeaseRequest) (reply contract.LeaseReply, err error) {
	err = result.New(result.ShuttingDown, "the instance stops")
	s.owner.Do(func() {
		now := standing.BootTime()
		if !s.standing.holds(now) {
			err = result.New(result.NoStanding, "the home has no standing")
			return
		}
		var nudges []contract.Nudge
		var ok bool
		reply, nudges, ok = s.home.HandleRequest(now, r, func(a string) contract.Allocation { return s.entitlement.Allocation(now, a) })
		err = nil
		if !ok {
			err = result.New(result.RequestInvalid, "a request that came late")
		}
		for _, n := range nudges {
			s.nudge(n)
		}
	})
	return reply, err
}

// nudge calls a holder without waiting for it; it runs in the owner.
func (s *shares) nudge(n contract.Nudge) {
	holder, ok := s.home.SessionHolder(n.Session)
	switch {
	case !ok:
		return
	case holder == string(s.self):
		go s.admitter.HandleNudge(n)
		return
	}
	r, ok := s.members.Directory().Record(membership.ID(holder))
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), nudgeTimeout)
		defer cancel()
		_ = s.client.Call(ctx, r.Control.String(), methodNudge, n, nil)
	}()
}

// answerNudge takes over the call of a home.
func (s *shares) answerNudge(_ context.Context, n contract.Nudge) (any, error) {
	s.admitter.HandleNudge(n)
	return struct{}{}, nil
}

// SharesState is what an instance does with rate shares, in a dump.
type SharesState struct {
	Holder contract.HolderStats      `json:"holder"`
	Home   contract.CoordinatorStats `json:"home"`
}

func (s *shares) state() (out SharesState) {
	out.Holder = s.admitter.Stats()
	s.owner.Do(func() { out.Home = s.home.Stats() })
	return out
}
