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
	// leaseDemand is the demand in tokens per second from which a holder gets a rate and not single tokens.
	leaseDemand = 2 * Token
	// againAfter is when a holder asks again where the home can't tell when tokens are ready.
	againAfter = 250 * time.Millisecond
	// soonAfter is the same for a holder that has nothing yet.
	soonAfter = 50 * time.Millisecond
	// longestAfter bounds a wait for tokens, as others may let go of more.
	longestAfter = time.Second
	// waiterLife is how long a home remembers that a holder waits.
	waiterLife = 2 * longestAfter
	// demandLife is how long a home remembers what a holder needed.
	demandLife = 5 * time.Second
	// expireEvery is how often a home looks for lapsed sessions.
	expireEvery = 100 * time.Millisecond
)

// CoordinatorStats counts what a home did.
type CoordinatorStats struct {
	Requests uint64 `json:"Requests"`
	Grants   uint64 `json:"Grants"`
	Nudges   uint64 `json:"Nudges"`
	Lapsed   uint64 `json:"Lapsed"`
	Unknown  uint64 `json:"Unknown"`
}

// LeaseCoordinator hands out its parts of client accounts as leases. What it has not handed out fills its own bucket; the
// bucket and all leases that may be in use add up to what it is allowed. It is not safe for concurrent use.
type LeaseCoordinator struct {
	id       string
	terms    LeaseTimings
	last     uint64
	expired  time.Duration // when sessions were last looked through
	forgot   time.Duration // when an account was last dropped, with what was used of it
	sessions map[uint64]*session
	accounts map[string]*homeAccount
	stats    CoordinatorStats
}

// session is the state of one holder at a home.
type session struct {
	holder string
	seq    uint64
	until  time.Duration
	leased map[string]struct{}
}

// NewLeaseCoordinator returns a home without any part. The first session has the number after first; numbers of
// different processes need not differ, as the address of a home names its process.
func NewLeaseCoordinator(id string, t LeaseTimings) *LeaseCoordinator {
	return &LeaseCoordinator{id: id, terms: t, sessions: make(map[uint64]*session), accounts: make(map[string]*homeAccount)}
}

// Stats returns the counts so far.
func (h *LeaseCoordinator) Stats() CoordinatorStats { return h.stats }

// allow brings an account to what may be handed out of it; nil if that is nothing.
func (h *LeaseCoordinator) allow(now time.Duration, account string, r Allocation) *homeAccount {
	a, ok := h.accounts[account]
	if !ok {
		if r.Share.IsZero() {
			return nil
		}
		a = &homeAccount{leases: make(map[uint64]*homeLease)}
		a.rest.share, a.rest.at = r.Share, min(max(r.Since, h.forgot), now) // full of what came in since
		h.accounts[account] = a
	}
	a.whole = r.Total
	a.settle(now, r.Share)
	if r.Share.IsZero() && len(a.leases) == 0 {
		delete(h.accounts, account)
		h.forgot = now
		return nil
	}
	return a
}

// HandleRequest answers a request; rights gives what the home may hand out of each account. It is called only while
// the instance may act on what it knows. A request that came twice or late gets no reply.
func (h *LeaseCoordinator) HandleRequest(now time.Duration, r LeaseRequest, rights func(account string) Allocation) (LeaseReply, []Nudge, bool) {
	h.stats.Requests++
	h.expire(now)
	s, ok := h.session(now, r)
	if !ok || r.Coordinator != h.id {
		h.stats.Unknown++
		return LeaseReply{Session: r.Session, Seq: r.Seq, Unknown: true}, nil, true
	}
	if r.Session != 0 && r.Seq <= s.seq {
		return LeaseReply{}, nil, false
	}
	number := r.Session
	if number == 0 {
		number = h.last
	}
	s.seq = r.Seq
	s.until = now + h.terms.SafeExpiry()
	reply := LeaseReply{Session: number, Seq: r.Seq}
	freed := h.takeStatement(now, number, s, r, rights)
	for _, l := range r.Accounts {
		right := rights(l.Account)
		if a := h.allow(now, l.Account, right); a != nil {
			reply.Grants = append(reply.Grants, a.grant(now, h.terms.SafeExpiry(), number, l, right.Share))
			s.leased[l.Account] = struct{}{}
			h.stats.Grants++
		} else {
			reply.Grants = append(reply.Grants, Grant{Account: l.Account, Total: l.Total, After: againAfter})
		}
	}
	nudges := h.nudges(now, number, r, freed)
	h.stats.Nudges += uint64(len(nudges))
	return reply, nudges, true
}

// session finds or opens the session of a request; false if it lapsed.
func (h *LeaseCoordinator) session(now time.Duration, r LeaseRequest) (*session, bool) {
	if r.Session != 0 {
		s, ok := h.sessions[r.Session]
		return s, ok && s.holder == r.Holder && now < s.until
	}
	h.last++
	s := &session{holder: r.Holder, leased: make(map[string]struct{})}
	h.sessions[h.last] = s
	return s, true
}

// expire forgets the sessions whose leases certainly lapsed.
func (h *LeaseCoordinator) expire(now time.Duration) {
	if now < h.expired+expireEvery {
		return
	}
	h.expired = now
	for n, s := range h.sessions {
		if now >= s.until {
			h.stats.Lapsed++
			delete(h.sessions, n)
		}
	}
}

// takeStatement takes back what the holder no longer has and returns the accounts of which that is something.
func (h *LeaseCoordinator) takeStatement(now time.Duration, number uint64, s *session, r LeaseRequest, rights func(string) Allocation) []string {
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
		if a.takeBack(now, number, line) {
			freed = append(freed, account)
		}
		if line.Account == "" {
			delete(s.leased, account)
		}
		right := rights(account)
		a.whole = right.Total
		a.settle(now, right.Share)
		a.rest.level = min(a.rest.level+max(line.Returned, 0), a.rest.share.Burst)
	}
	slices.Sort(freed)
	return freed
}

// nudges calls the holders that have more than their part while the asker waits, and the first waiting holder of
// each account of which something came back.
func (h *LeaseCoordinator) nudges(now time.Duration, number uint64, r LeaseRequest, freed []string) []Nudge {
	var out []Nudge
	for _, line := range r.Accounts {
		a := h.accounts[line.Account]
		if a == nil || a.leases[number] == nil || a.leases[number].wants == 0 {
			continue
		}
		for n, fair := range a.excess(now, number) {
			if h.sessions[n] != nil {
				out = append(out, Nudge{Coordinator: h.id, Session: n, Account: line.Account, Quota: fair, Recall: true})
			}
		}
	}
	for _, account := range freed {
		a := h.accounts[account]
		if a == nil {
			continue
		}
		if n, after, ok := a.firstWaiting(now, number); ok && h.sessions[n] != nil {
			out = append(out, Nudge{Coordinator: h.id, Session: n, Account: account, After: after})
		}
	}
	slices.SortStableFunc(out, func(a, b Nudge) int { return cmp.Compare(a.Session, b.Session) })
	return out
}

// SessionHolder returns the instance of a session.
func (h *LeaseCoordinator) SessionHolder(session uint64) (string, bool) {
	s, ok := h.sessions[session]
	if !ok {
		return "", false
	}
	return s.holder, true
}
