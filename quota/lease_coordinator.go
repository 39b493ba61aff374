package quota

import (
	"cmp"
	"slices"
	"time"
)

// LeaseTimings are the durations that coordinators and holders of leases agree on.
type LeaseTimings struct {
	// Lease is the term of a lease, from the moment when its holder sent the request. Longer leases cost fewer
	// messages, but the tokens of a holder that crashed come back later.
	Lease time.Duration
	// Renew is how long after a request a holder renews the leases that it uses; well below Lease.
	Renew time.Duration
	// Timeout is how long a holder waits for a reply before it asks the next coordinator.
	Timeout time.Duration
	// Retry is how long a holder sends no request to a coordinator that did not reply.
	Retry time.Duration
	// Idle is how long a holder keeps the leases of an account without requests.
	Idle time.Duration
}

// DefaultLeaseTimings returns the lease timings of a fleet.
func DefaultLeaseTimings() LeaseTimings {
	return LeaseTimings{
		Lease:   2 * time.Second,
		Renew:   time.Second,
		Timeout: 400 * time.Millisecond,
		Retry:   500 * time.Millisecond,
		Idle:    time.Second,
	}
}

// SafeExpiry returns how long after a grant its holder has certainly stopped using the lease, measured by any clock
// within the drift bound.
func (t LeaseTimings) SafeExpiry() time.Duration { return t.Lease + t.Lease>>(driftShift-2) + 1 }

const (
	// rateLeaseDemand is the demand, in tokens per second, from which on a holder gets a rate instead of single tokens.
	rateLeaseDemand = 2 * Token
	// defaultRetryAfter is how long a holder waits to ask again if the coordinator can't predict when tokens are ready.
	defaultRetryAfter = 250 * time.Millisecond
	// shortRetryAfter is the same for a holder that has no rate yet. It is also the least time between two nudges that
	// ask a holder to reduce a lease.
	shortRetryAfter = 50 * time.Millisecond
	// maxRetryAfter bounds the wait for tokens, since other holders may release more of them.
	maxRetryAfter = time.Second
	// waiterTTL is how long a coordinator assumes that a holder still waits.
	waiterTTL = 2 * maxRetryAfter
	// demandTTL is how long a coordinator uses the demand that a holder reported.
	demandTTL = 5 * time.Second
	// expiryInterval is how often a coordinator looks for expired sessions.
	expiryInterval = 100 * time.Millisecond
)

// CoordinatorStats counts the events at a coordinator.
type CoordinatorStats struct {
	Requests uint64 `json:"Requests"`
	Grants   uint64 `json:"Grants"`
	Nudges   uint64 `json:"Nudges"`
	Lapsed   uint64 `json:"Lapsed"`
	Unknown  uint64 `json:"Unknown"`
}

// LeaseCoordinator hands out its shares of client accounts as leases. The unleased part of a share fills the
// coordinator's own bucket; the bucket and all leases that may be in use add up to the share. It is not safe for
// concurrent use.
type LeaseCoordinator struct {
	id          string
	timings     LeaseTimings
	lastSession uint64
	lastExpiry  time.Duration // when expired sessions were last removed
	lastDropped time.Duration // when an account was last dropped, and with it the record of its used tokens
	sessions    map[uint64]*session
	accounts    map[string]*coordinatorAccount
	stats       CoordinatorStats
}

// session is the state of one holder at a coordinator.
type session struct {
	holder  string
	seq     uint64 // of the latest request
	expires time.Duration
	leased  map[string]struct{} // accounts with a lease
}

// NewLeaseCoordinator returns a coordinator without any share. Session numbers start at 1 and may be equal in different
// processes, as the ID of a coordinator identifies its process.
func NewLeaseCoordinator(id string, t LeaseTimings) *LeaseCoordinator {
	return &LeaseCoordinator{id: id, timings: t, sessions: make(map[uint64]*session), accounts: make(map[string]*coordinatorAccount)}
}

// Stats returns the counts so far.
func (c *LeaseCoordinator) Stats() CoordinatorStats { return c.stats }

// updateAccount sets what may be handed out of an account; it returns nil if that is nothing and nothing is leased.
func (c *LeaseCoordinator) updateAccount(now time.Duration, account string, alloc Allocation) *coordinatorAccount {
	a, ok := c.accounts[account]
	if !ok {
		if alloc.Share.IsZero() {
			return nil
		}
		a = &coordinatorAccount{leases: make(map[uint64]*grantedLease)}
		// The bucket starts with the tokens that have accrued since this time.
		a.unleased.quota, a.unleased.updatedAt = alloc.Share, min(max(alloc.Since, c.lastDropped), now)
		c.accounts[account] = a
	}
	a.total = alloc.Total
	a.rebalance(now, alloc.Share)
	if alloc.Share.IsZero() && len(a.leases) == 0 {
		delete(c.accounts, account)
		c.lastDropped = now
		return nil
	}
	return a
}

// HandleRequest replies to a request; allocation returns what the coordinator may hand out of an account. It must be
// called only while the instance may act on its configuration. A duplicate or late request gets no reply; the last
// result is then false.
func (c *LeaseCoordinator) HandleRequest(
	now time.Duration, r LeaseRequest, allocation func(account string) Allocation,
) (LeaseReply, []Nudge, bool) {
	c.stats.Requests++
	c.expireSessions(now)
	s, ok := c.findOrOpenSession(now, r)
	if !ok || r.Coordinator != c.id {
		c.stats.Unknown++
		return LeaseReply{Session: r.Session, Seq: r.Seq, Unknown: true}, nil, true
	}
	if r.Session != 0 && r.Seq <= s.seq {
		return LeaseReply{}, nil, false
	}
	sessionID := r.Session
	if sessionID == 0 {
		sessionID = c.lastSession
	}
	s.seq = r.Seq
	s.expires = now + c.timings.SafeExpiry()
	reply := LeaseReply{Session: sessionID, Seq: r.Seq}
	returned := c.applyStatement(now, sessionID, s, r, allocation)
	for _, req := range r.Accounts {
		alloc := allocation(req.Account)
		if a := c.updateAccount(now, req.Account, alloc); a != nil {
			reply.Grants = append(reply.Grants, a.grant(now, c.timings.SafeExpiry(), sessionID, req, alloc.Share))
			s.leased[req.Account] = struct{}{}
			c.stats.Grants++
		} else {
			reply.Grants = append(reply.Grants, Grant{Account: req.Account, Total: req.Total, After: defaultRetryAfter})
		}
	}
	nudges := c.nudges(now, sessionID, r, returned)
	c.stats.Nudges += uint64(len(nudges))
	return reply, nudges, true
}

// findOrOpenSession returns the session of a request, or opens one; false if the session expired.
func (c *LeaseCoordinator) findOrOpenSession(now time.Duration, r LeaseRequest) (*session, bool) {
	if r.Session != 0 {
		s, ok := c.sessions[r.Session]
		return s, ok && s.holder == r.Holder && now < s.expires
	}
	c.lastSession++
	s := &session{holder: r.Holder, leased: make(map[string]struct{})}
	c.sessions[c.lastSession] = s
	return s, true
}

// expireSessions removes the sessions whose leases have certainly expired.
func (c *LeaseCoordinator) expireSessions(now time.Duration) {
	if now < c.lastExpiry+expiryInterval {
		return
	}
	c.lastExpiry = now
	for n, s := range c.sessions {
		if now >= s.expires {
			c.stats.Lapsed++
			delete(c.sessions, n)
		}
	}
}

// applyStatement takes back what the holder no longer has, and returns the accounts of which the holder returned
// something.
func (c *LeaseCoordinator) applyStatement(now time.Duration, sessionID uint64, s *session, r LeaseRequest,
	allocation func(string) Allocation,
) []string {
	stated := make(map[string]AccountRequest, len(r.Accounts))
	if r.Session != 0 {
		for _, req := range r.Accounts {
			stated[req.Account] = req
		}
	}
	var returned []string
	for account := range s.leased {
		a := c.accounts[account]
		if a == nil || a.leases[sessionID] == nil {
			delete(s.leased, account)
			continue
		}
		req := stated[account]
		if a.reclaim(now, sessionID, req) {
			returned = append(returned, account)
		}
		if req.Account == "" {
			delete(s.leased, account)
		}
		alloc := allocation(account)
		a.total = alloc.Total
		a.rebalance(now, alloc.Share)
		a.unleased.level = min(a.unleased.level+max(req.Returned, 0), a.unleased.quota.Burst)
	}
	slices.Sort(returned)
	return returned
}

// nudges returns messages to the holders that have more than their share while the asker waits, and to the longest
// waiting holder of each account of which something was returned.
func (c *LeaseCoordinator) nudges(now time.Duration, sessionID uint64, r LeaseRequest, returned []string) []Nudge {
	var out []Nudge
	for _, req := range r.Accounts {
		a := c.accounts[req.Account]
		if a == nil || a.leases[sessionID] == nil || a.leases[sessionID].wanted == 0 {
			continue
		}
		for n, fair := range a.overFairShare(now, sessionID) {
			if c.sessions[n] != nil {
				out = append(out, Nudge{Coordinator: c.id, Session: n, Account: req.Account, Quota: fair, Recall: true})
			}
		}
	}
	for _, account := range returned {
		a := c.accounts[account]
		if a == nil {
			continue
		}
		if n, after, ok := a.longestWaiting(now, sessionID); ok && c.sessions[n] != nil {
			out = append(out, Nudge{Coordinator: c.id, Session: n, Account: account, After: after})
		}
	}
	slices.SortStableFunc(out, func(a, b Nudge) int { return cmp.Compare(a.Session, b.Session) })
	return out
}

// SessionHolder returns the instance that holds the session.
func (c *LeaseCoordinator) SessionHolder(sessionID uint64) (string, bool) {
	s, ok := c.sessions[sessionID]
	if !ok {
		return "", false
	}
	return s.holder, true
}
