package instance

import (
	"context"
	"sync"
	"time"

	"amaranthstile/authority"
	"amaranthstile/entry"
	"amaranthstile/gossip"
	"amaranthstile/internal/owner"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/quota"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

const (
	// methodLease asks a coordinator for leases of rate and burst.
	methodLease link.Method = "shares.lease"
	// methodNudge asks a lease holder to send a lease request now.
	methodNudge link.Method = "shares.nudge"
	// nudgeTimeout bounds a nudge call.
	nudgeTimeout = time.Second
)

// shareManager owns the shares of client accounts that this instance hands out as their coordinator, and admits the
// requests that arrive at this instance using leases from the coordinators.
type shareManager struct {
	owner       *owner.Owner
	coordinator *quota.LeaseCoordinator // accessed only by the owner
	allocator   *quota.Allocator        // accessed only by the owner
	admitter    *quota.LeaseAdmitter
	authority   *authorityManager
	members     *gossip.Members
	client      *link.ControlClient
	self        membership.ID
	inForce     *entry.Config  // the view of the changes in force; accessed only by the owner
	pending     []ticket.Entry // accessed only by the owner
	view        func() *entry.Config
	roster      func() *ticket.Roster

	mu        sync.Mutex
	addresses map[string]string // of the coordinators on all rosters seen so far
}

func newShareManager(o *owner.Owner, manager *authorityManager, m *gossip.Members, client *link.ControlClient, self membership.ID) *shareManager {
	timings := quota.DefaultLeaseTimings()
	s := &shareManager{
		owner:       o,
		coordinator: quota.NewLeaseCoordinator(string(self), timings),
		authority:   manager,
		members:     m,
		client:      client,
		self:        self,
		addresses:   make(map[string]string),
	}
	wait := manager.timings.PropagationBound() + timings.SafeExpiry() + timings.SafeExpiry()>>8
	s.allocator = quota.NewAllocator(string(self), authority.BootTime(), wait, s.quotas)
	s.admitter = quota.NewLeaseAdmitter(quota.LeaseAdmitterOptions{
		Self:    string(self),
		Timings: timings,
		Now:     authority.BootTime,
		Gate:    manager,
		Lookup:  s.lookup,
		Call:    s.call,
	})
	return s
}

// quota returns the rate and burst of an account in the view that requests read.
func (s *shareManager) quota(account string) quota.Quota { return quotaIn(s.view(), account) }

func quotaIn(v *entry.Config, account string) quota.Quota {
	if v == nil {
		return quota.Quota{}
	}
	a, ok := v.Accounts.Account(account)
	if !ok {
		return quota.Quota{}
	}
	return quota.Of(a)
}

// quotas returns all quotas that some instance may use for an account at present. It runs in the owner.
func (s *shareManager) quotas(account string) quota.AccountQuotas {
	out := quota.AccountQuotas{Strict: s.quota(account), InForce: s.quotaInForce(account)}
	for _, e := range s.pending {
		if e.Ticket == nil {
			continue
		}
		if a := e.Ticket.Accounts[account]; a != nil {
			out.Pending = append(out.Pending, quota.Of(&quota.Account{Rate: a.Rate, Burst: a.Burst}))
		}
	}
	return out
}

func (s *shareManager) quotaInForce(account string) quota.Quota {
	return quotaIn(s.inForce, account)
}

// lookup implements quota.LookupFunc with the published view and the roster in force.
func (s *shareManager) lookup(account string) (quota.Quota, []string) {
	total := s.quota(account)
	var coordinators []string
	for _, p := range quota.Divide(account, total, s.roster()) {
		coordinators = append(coordinators, p.Coordinator.ID)
	}
	return total, coordinators
}

// update applies a new view of the changes in force, and the pending changes. When it returns, neither the
// coordinator nor the lease holder of this instance uses the previous state. accepted is the ticket that has just
// come into force, or nil.
func (s *shareManager) update(inForce *entry.Config, accepted *ticket.Ticket, pending []ticket.Entry) {
	roster := s.roster()
	var rosters []*ticket.Roster
	for _, e := range pending {
		if e.Roster != nil {
			rosters = append(rosters, e.Roster)
		}
	}
	s.recordAddresses(append(rosters, roster))
	s.owner.Do(func() {
		now := authority.BootTime()
		s.allocator.SetRoster(now, roster, rosters)
		previous := s.inForce
		s.inForce, s.pending = inForce, pending
		if accepted == nil {
			return
		}
		for name := range accepted.Accounts {
			s.allocator.RecordChange(now, name, quotaIn(previous, name), quotaIn(inForce, name))
		}
	})
	s.admitter.Refresh()
}

// recordAddresses records the addresses of the coordinators on rosters.
func (s *shareManager) recordAddresses(rosters []*ticket.Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rosters {
		if r == nil {
			continue
		}
		for _, c := range r.Coordinators {
			s.addresses[c.ID] = c.Control.String()
		}
	}
}

// call sends a lease request to a coordinator, which may be this instance.
func (s *shareManager) call(ctx context.Context, coordinator string, r quota.LeaseRequest) (quota.LeaseReply, error) {
	if coordinator == string(s.self) {
		return s.handleRequest(r)
	}
	s.mu.Lock()
	addr, ok := s.addresses[coordinator]
	s.mu.Unlock()
	if !ok {
		return quota.LeaseReply{}, result.New(result.PeerUnknown, "no coordinator %s", coordinator)
	}
	var reply quota.LeaseReply
	err := s.client.Call(ctx, addr, methodLease, r, &reply)
	return reply, err
}

// handleLease handles the lease request of a holder on another instance.
func (s *shareManager) handleLease(_ context.Context, r quota.LeaseRequest) (any, error) {
	return s.handleRequest(r)
}

// handleRequest passes a lease request to the coordinator if this instance holds an authority lease.
func (s *shareManager) handleRequest(r quota.LeaseRequest) (reply quota.LeaseReply, err error) {
	err = result.New(result.ShuttingDown, "the instance is stopping")
	s.owner.Do(func() {
		now := authority.BootTime()
		if !s.authority.mayAct(now) {
			err = result.New(result.NoStanding, "the coordinator holds no authority lease")
			return
		}
		var nudges []quota.Nudge
		var ok bool
		reply, nudges, ok = s.coordinator.HandleRequest(now, r, func(a string) quota.Allocation { return s.allocator.Allocation(now, a) })
		err = nil
		if !ok {
			err = result.New(result.RequestInvalid, "the lease request is late or a duplicate")
		}
		for _, n := range nudges {
			s.sendNudge(n)
		}
	})
	return reply, err
}

// sendNudge calls a holder without waiting for the reply. It runs in the owner.
func (s *shareManager) sendNudge(n quota.Nudge) {
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

// handleNudge handles the nudge of a coordinator on another instance.
func (s *shareManager) handleNudge(_ context.Context, n quota.Nudge) (any, error) {
	s.admitter.HandleNudge(n)
	return struct{}{}, nil
}

// SharesState is the state of the rate shares at an instance, in a dump: its counts as a lease holder and as a
// coordinator.
type SharesState struct {
	Holder quota.HolderStats      `json:"holder"`
	Home   quota.CoordinatorStats `json:"home"`
}

func (s *shareManager) state() (out SharesState) {
	out.Holder = s.admitter.Stats()
	s.owner.Do(func() { out.Home = s.coordinator.Stats() })
	return out
}
