package contract

import (
	"cmp"
	"slices"
	"time"
)

// LeaseTimings are the durations that homes and holders of leases agree on.
type LeaseTimings struct {
	// Lease is how long a holder uses what it got, from the moment when it sent the request. Longer leases cost
	// fewer messages; the tokens of a holder that died come back later.
	Lease time.Duration
	// Renew is when a holder asks again for what it uses; well below Lease.
	Renew time.Duration
	// Timeout is how long a holder waits for a reply before it turns to the next home.
	Timeout time.Duration
	// Retry is how long it leaves a silent home alone.
	Retry time.Duration
	// Idle is how long an unused lease is kept.
	Idle time.Duration
}

// DefaultLeaseTimings returns the terms of a fleet.
func DefaultLeaseTimings() LeaseTimings {
	return LeaseTimings{
		Lease:   2 * time.Second,
		Renew:   time.Second,
		Timeout: 400 * time.Millisecond,
		Retry:   500 * time.Millisecond,
		Idle:    time.Second,
	}
}

// SafeExpiry is how long after a grant, on any clock within its bound, its holder has certainly stopped.
func (t LeaseTimings) SafeExpiry() time.Duration { return t.Lease + t.Lease>>(driftShift-2) + 1 }

const (
	// rateLeaseDemand is the demand in tokens per second from which a holder gets a rate and not single tokens.
	rateLeaseDemand = 2 * Token
	// defaultRetryAfter is when a holder asks again where the home can't tell when tokens are ready.
	defaultRetryAfter = 250 * time.Millisecond
	// shortRetryAfter is the same for a holder that has nothing yet.
	shortRetryAfter = 50 * time.Millisecond
	// maxRetryAfter bounds a wait for tokens, as others may let go of more.
	maxRetryAfter = time.Second
	// waiterTTL is how long a home remembers that a holder waits.
	waiterTTL = 2 * maxRetryAfter
	// demandTTL is how long a home remembers what a holder needed.
	demandTTL = 5 * time.Second
	// expiryInterval is how often a home looks for lapsed sessions.
	expiryInterval = 100 * time.Millisecond
)

// HomeStats counts what a home did.
type HomeStats struct {
	Requests uint64 `json:"Requests"`
	Grants   uint64 `json:"Grants"`
	Nudges   uint64 `json:"Nudges"`
	Lapsed   uint64 `json:"Lapsed"`
	Unknown  uint64 `json:"Unknown"`
}

// LeaseHome hands out its parts of client accounts as leases. What it has not handed out fills its own bucket; the
// bucket and all leases that may be in use add up to what it is allowed. It is not safe for concurrent use.
type LeaseHome struct {
	id          string
	timings     LeaseTimings
	lastSession uint64
	lastExpiry  time.Duration // when sessions were last looked through
	lastDropped time.Duration // when an account was last dropped, with what was used of it
	sessions    map[uint64]*session
	accounts    map[string]*homeAccount
	stats       HomeStats
}

// session is the state of one holder at a home.
type session struct {
	holder  string
	seq     uint64
	expires time.Duration
	leased  map[string]struct{}
}

// NewLeaseHome returns a home without any part. The first session has the number after first; numbers of
// different processes need not differ, as the address of a home names its process.
func NewLeaseHome(id string, t LeaseTimings) *LeaseHome {
	return &LeaseHome{id: id, timings: t, sessions: make(map[uint64]*session), accounts: make(map[string]*homeAccount)}
}

// Stats returns the counts so far.
func (h *LeaseHome) Stats() HomeStats { return h.stats }

// updateAccount brings an account to what may be handed out of it; nil if that is nothing.
func (h *LeaseHome) updateAccount(now time.Duration, account string, r Allocation) *homeAccount {
	a, ok := h.accounts[account]
	if !ok {
		if r.Share.IsZero() {
			return nil
		}
		a = &homeAccount{leases: make(map[uint64]*grantedLease)}
		a.unleased.quota, a.unleased.updatedAt = r.Share, min(max(r.Since, h.lastDropped), now) // full of what came in since
		h.accounts[account] = a
	}
	a.total = r.Total
	a.rebalance(now, r.Share)
	if r.Share.IsZero() && len(a.leases) == 0 {
		delete(h.accounts, account)
		h.lastDropped = now
		return nil
	}
	return a
}

// HandleRequest answers a request; rights gives what the home may hand out of each account. It is called only while
// the instance may act on what it knows. A request that came twice or late gets no reply.
func (h *LeaseHome) HandleRequest(now time.Duration, r LeaseRequest, rights func(account string) Allocation) (LeaseReply, []Nudge, bool) {
	h.stats.Requests++
	h.expireSessions(now)
	s, ok := h.findOrOpenSession(now, r)
	if !ok || r.Home != h.id {
		h.stats.Unknown++
		return LeaseReply{Session: r.Session, Seq: r.Seq, Unknown: true}, nil, true
	}
	if r.Session != 0 && r.Seq <= s.seq {
		return LeaseReply{}, nil, false
	}
	number := r.Session
	if number == 0 {
		number = h.lastSession
	}
	s.seq = r.Seq
	s.expires = now + h.timings.SafeExpiry()
	reply := LeaseReply{Session: number, Seq: r.Seq}
	freed := h.applyStatement(now, number, s, r, rights)
	for _, l := range r.Accounts {
		right := rights(l.Account)
		if a := h.updateAccount(now, l.Account, right); a != nil {
			reply.Grants = append(reply.Grants, a.grant(now, h.timings.SafeExpiry(), number, l, right.Share))
			s.leased[l.Account] = struct{}{}
			h.stats.Grants++
		} else {
			reply.Grants = append(reply.Grants, Grant{Account: l.Account, Total: l.Total, After: defaultRetryAfter})
		}
	}
	nudges := h.nudges(now, number, r, freed)
	h.stats.Nudges += uint64(len(nudges))
	return reply, nudges, true
}

// findOrOpenSession finds or opens the findOrOpenSession of a request; false if it lapsed.
func (h *LeaseHome) findOrOpenSession(now time.Duration, r LeaseRequest) (*session, bool) {
	if r.Session != 0 {
		s, ok := h.sessions[r.Session]
		return s, ok && s.holder == r.Holder && now < s.expires
	}
	h.lastSession++
	s := &session{holder: r.Holder, leased: make(map[string]struct{})}
	h.sessions[h.lastSession] = s
	return s, true
}

// expireSessions forgets the sessions whose leases certainly lapsed.
func (h *LeaseHome) expireSessions(now time.Duration) {
	if now < h.lastExpiry+expiryInterval {
		return
	}
	h.lastExpiry = now
	for n, s := range h.sessions {
		if now >= s.expires {
			h.stats.Lapsed++
			delete(h.sessions, n)
		}
	}
}

// applyStatement takes back what the holder no longer has and returns the accounts of which that is something.
func (h *LeaseHome) applyStatement(now time.Duration, number uint64, s *session, r LeaseRequest, rights func(string) Allocation) []string {
	stated := make(map[string]AccountRequest, len(r.Accounts))
	if r.Session != 0 {
		for _, l := range r.Accounts {
			stated[l.Account] = l
		}
	}
	var freed []string
	for account := range s.leased {
		a := h.accounts[account]
		if a == nil || a.leases[number] == nil {
			delete(s.leased, account)
			continue
		}
		line := stated[account]
		if a.reclaim(now, number, line) {
			freed = append(freed, account)
		}
		if line.Account == "" {
			delete(s.leased, account)
		}
		right := rights(account)
		a.total = right.Total
		a.rebalance(now, right.Share)
		a.unleased.level = min(a.unleased.level+max(line.Returned, 0), a.unleased.quota.Burst)
	}
	slices.Sort(freed)
	return freed
}

// nudges calls the holders that have more than their part while the asker waits, and the first waiting holder of
// each account of which something came back.
func (h *LeaseHome) nudges(now time.Duration, number uint64, r LeaseRequest, freed []string) []Nudge {
	var out []Nudge
	for _, line := range r.Accounts {
		a := h.accounts[line.Account]
		if a == nil || a.leases[number] == nil || a.leases[number].wanted == 0 {
			continue
		}
		for n, fair := range a.overFairShare(now, number) {
			if h.sessions[n] != nil {
				out = append(out, Nudge{Home: h.id, Session: n, Account: line.Account, Quota: fair, Recall: true})
			}
		}
	}
	for _, account := range freed {
		a := h.accounts[account]
		if a == nil {
			continue
		}
		if n, after, ok := a.longestWaiting(now, number); ok && h.sessions[n] != nil {
			out = append(out, Nudge{Home: h.id, Session: n, Account: account, After: after})
		}
	}
	slices.SortStableFunc(out, func(a, b Nudge) int { return cmp.Compare(a.Session, b.Session) })
	return out
}

// SessionHolder returns the instance of a session.
func (h *LeaseHome) SessionHolder(session uint64) (string, bool) {
	s, ok := h.sessions[session]
	if !ok {
		return "", false
	}
	return s.holder, true
}
