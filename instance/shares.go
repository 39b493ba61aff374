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

// shareManager owns the parts of client accounts that this instance hands out as a home, and admits the requests that
// come here from leases of other homes.
type shareManager struct {
	owner       *owner.Owner
	coordinator        *contract.LeaseCoordinator // touched in the owner only
	allocator *contract.Allocator        // touched in the owner only
	admitter    *contract.LeaseAdmitter
	standing    *standingManager
	members     *gossip.Members
	client      *link.ControlClient
	self        membership.ID
	inForce        *entry.Config  // what is in force; touched in the owner only
	pending     []ticket.Entry // touched in the owner only
	view        func() *entry.Config
	roster      func() *ticket.Roster

	mu        sync.Mutex
	addresses map[string]string // of homes, on rosters known so far
}

func newShareManager(o *owner.Owner, st *standingManager, m *gossip.Members, client *link.ControlClient, self membership.ID) *shareManager {
	terms := contract.DefaultLeaseTimings()
	s := &shareManager{
		owner:     o,
		coordinator:      contract.NewLeaseCoordinator(string(self), terms),
		standing:  st,
		members:   m,
		client:    client,
		self:      self,
		addresses: make(map[string]string),
	}
	wait := st.terms.Settled() + terms.SafeExpiry() + terms.SafeExpiry()>>8
	s.allocator = contract.NewAllocator(string(self), standing.Now(), wait, s.quotas)
	s.admitter = contract.NewLeaseAdmitter(contract.LeaseAdmitterOptions{
		Self:    string(self),
		Timings: terms,
		Now:     standing.Now,
		Gate:    st,
		Lookup:  s.lookup,
		Call:    s.call,
	})
	return s
}

// quota returns the rate and burst of an account as requests read it now.
func (s *shareManager) quota(account string) contract.Quota { return quotaIn(s.view(), account) }

func quotaIn(v *entry.Config, account string) contract.Quota {
	if v == nil {
		return contract.Quota{}
	}
	a, ok := v.Accounts.Account(account)
	if !ok {
		return contract.Quota{}
	}
	return contract.QuotaOf(a)
}

// quotas returns what somebody may act on for an account; it runs in the owner.
func (s *shareManager) quotas(account string) contract.AccountQuotas {
	out := contract.AccountQuotas{Strict: s.quota(account), InForce: s.quotaInForce(account)}
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

func (s *shareManager) quotaInForce(account string) contract.Quota {
	return quotaIn(s.inForce, account)
}

// lookup implements contract.Lookup by the view and the roster in force.
func (s *shareManager) lookup(account string) (contract.Quota, []string) {
	whole := s.quota(account)
	var homes []string
	for _, p := range contract.Divide(account, whole, s.roster()) {
		homes = append(homes, p.Coordinator.ID)
	}
	return whole, homes
}

// update takes over what is in force, and what is pending. It returns when neither home nor holder acts on the old
// state. Accepted is the ticket that came in force now, nil for none.
func (s *shareManager) update(base *entry.Config, accepted *ticket.Ticket, pending []ticket.Entry) {
	roster := s.roster()
	var rosters []*ticket.Roster
	for _, e := range pending {
		if e.Roster != nil {
			rosters = append(rosters, e.Roster)
		}
	}
	s.recordAddresses(append(rosters, roster))
	s.owner.Do(func() {
		now := standing.Now()
		s.allocator.SetRoster(now, roster, rosters)
		last := s.inForce
		s.inForce, s.pending = base, pending
		if accepted == nil {
			return
		}
		for name := range accepted.Accounts {
			s.allocator.RecordChange(now, name, quotaIn(last, name), quotaIn(base, name))
		}
	})
	s.admitter.Refresh()
}

// recordAddresses notes the addresses of the homes on rosters.
func (s *shareManager) recordAddresses(rosters []*ticket.Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rosters {
		if r == nil {
			continue
		}
		for _, h := range r.Homes {
			s.addresses[h.ID] = h.Control.String()
		}
	}
}

// call asks a home, which may be this instance.
func (s *shareManager) call(ctx context.Context, home string, r contract.LeaseRequest) (contract.LeaseReply, error) {
	if home == string(s.self) {
		return s.handleRequest(r)
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

// handleLease answers the request of a holder.
func (s *shareManager) handleLease(_ context.Context, r contract.LeaseRequest) (any, error) {
	return s.handleRequest(r)
}

// handleRequest lets the home decide, if it may act.
func (s *shareManager) handleRequest(r contract.LeaseRequest) (reply contract.LeaseReply, err error) {
	err = result.New(result.ShuttingDown, "the instance stops")
	s.owner.Do(func() {
		now := standing.Now()
		if !s.standing.mayAct(now) {
			err = result.New(result.NoStanding, "the home has no standing")
			return
		}
		var nudges []contract.Nudge
		var ok bool
		reply, nudges, ok = s.coordinator.HandleRequest(now, r, func(a string) contract.Allocation { return s.allocator.Allocation(now, a) })
		err = nil
		if !ok {
			err = result.New(result.RequestInvalid, "a request that came late")
		}
		for _, n := range nudges {
			s.sendNudge(n)
		}
	})
	return reply, err
}

// sendNudge calls a holder without waiting for it; it runs in the owner.
func (s *shareManager) sendNudge(n contract.Nudge) {
	holder, ok := s.coordinator.SessionHolder(n.Session)
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

// handleNudge takes over the call of a home.
func (s *shareManager) handleNudge(_ context.Context, n contract.Nudge) (any, error) {
	s.admitter.HandleNudge(n)
	return struct{}{}, nil
}

// SharesState is what an instance does with rate shares, in a dump.
type SharesState struct {
	Holder contract.HolderStats      `json:"holder"`
	Home   contract.CoordinatorStats `json:"home"`
}

func (s *shareManager) state() (out SharesState) {
	out.Holder = s.admitter.Stats()
	s.owner.Do(func() { out.Home = s.coordinator.Stats() })
	return out
}
