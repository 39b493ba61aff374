package quota

import (
	"slices"
	"time"
)

// OutgoingRequest is a request and the coordinator that it is sent to.
type OutgoingRequest struct {
	Coordinator string
	Request     LeaseRequest
}

// PollResult is what has to be done after a call of LeaseHolder.Poll.
type PollResult struct {
	// Admitted are the numbers of waiting requests that may proceed.
	Admitted []uint64
	// Requests are to be sent to coordinators.
	Requests []OutgoingRequest
	// NextPoll is when to poll again at the latest, if nothing happens before.
	NextPoll time.Duration
}

// HolderStats counts the events at a holder.
type HolderStats struct {
	Admitted  uint64 `json:"Admitted"`
	Waited    uint64 `json:"Waited"`
	Hopeless  uint64 `json:"Hopeless"`
	QueueFull uint64 `json:"QueueFull"`
	Requests  uint64 `json:"Requests"`
	Timeouts  uint64 `json:"Timeouts"`
	Lapsed    uint64 `json:"Lapsed"`
	// Accounts is the number of accounts with leases or waiting requests, Waiting the number of waiting requests.
	Accounts int `json:"Accounts"`
	Waiting  int `json:"Waiting"`
}

// LookupFunc returns the quota of an account and its coordinators; a zero Quota means that there is no such account.
type LookupFunc func(account string) (total Quota, coordinators []string)

// LeaseHolder admits the requests at one instance, using leases that it gets from the coordinators of their accounts.
// It is not safe for concurrent use.
type LeaseHolder struct {
	id           string
	timings      LeaseTimings
	lookup       LookupFunc
	lastID       uint64
	lastSeq      uint64 // never reused, so that a late reply matches no other request
	accounts     map[string]*holderAccount
	waiting      map[uint64]string // account by number of the waiting request
	coordinators map[string]*coordinatorSession
	stats        HolderStats
}

// coordinatorSession is the state of the session with one coordinator.
type coordinatorSession struct {
	session  uint64 // the number that the coordinator gave, 0 if no session is open
	seq      uint64 // of the latest request
	sentAt   time.Duration
	awaiting bool // the reply to the latest request is outstanding
	renewAt  time.Duration
	retryAt  time.Duration   // after a failure, no request is sent before
	accounts map[string]bool // accounts with a lease from this coordinator or with waiting requests
}

// minGap returns the least time between two requests to the coordinator, so that the needs of several accounts go into
// one request.
func (s *coordinatorSession) minGap() time.Duration {
	return min(time.Duration(len(s.accounts)-1)*gapPerAccount, maxGap)
}

const (
	// gapPerAccount is how much each account beyond the first adds to the gap between two requests to a coordinator.
	gapPerAccount = time.Millisecond
	// maxGap bounds this gap.
	maxGap = 50 * time.Millisecond
)

// NewLeaseHolder returns a holder without leases.
func NewLeaseHolder(id string, t LeaseTimings, lookup LookupFunc) *LeaseHolder {
	return &LeaseHolder{
		id:           id,
		timings:      t,
		lookup:       lookup,
		accounts:     make(map[string]*holderAccount),
		waiting:      make(map[uint64]string),
		coordinators: make(map[string]*coordinatorSession),
	}
}

// Stats returns the counts so far.
func (h *LeaseHolder) Stats() HolderStats {
	s := h.stats
	s.Accounts, s.Waiting = len(h.accounts), len(h.waiting)
	return s
}

// AdmitDecision is the result of LeaseHolder.Admit.
type AdmitDecision int

// The decisions on a request.
const (
	// AdmitNow lets the request proceed at once.
	AdmitNow AdmitDecision = iota
	// Queued means that the request waits for a token.
	Queued
	// DeadlineTooShort means that no token can come before the deadline.
	DeadlineTooShort
	// QueueFull means that too many requests of the account wait at this instance.
	QueueFull
	// UnknownAccount means that there is no such account.
	UnknownAccount
)

// Admit decides on a request that arrived now. A queued request gets a number, id. If the decision is DeadlineTooShort,
// after is the least time that the request would have to wait.
func (h *LeaseHolder) Admit(now time.Duration, account string, deadline time.Duration) (d AdmitDecision, id uint64, after time.Duration) {
	a := h.account(account)
	if a == nil {
		return UnknownAccount, 0, 0
	}
	a.recordArrival(now)
	if len(a.queue) == 0 && a.takeToken(now) {
		h.stats.Admitted++
		return AdmitNow, 0, 0
	}
	if wait := a.minWait(); wait > deadline-now {
		h.stats.Hopeless++
		return DeadlineTooShort, 0, wait
	}
	if len(a.queue) >= maxQueued {
		h.stats.QueueFull++
		return QueueFull, 0, 0
	}
	h.lastID++
	a.queue = append(a.queue, h.lastID)
	h.waiting[h.lastID] = account
	h.stats.Waited++
	return Queued, h.lastID, 0
}

// account returns the state of an account, which it creates if necessary; nil if there is no such account.
func (h *LeaseHolder) account(name string) *holderAccount {
	a, ok := h.accounts[name]
	if ok {
		return a
	}
	total, coordinators := h.lookup(name)
	if total.IsZero() {
		return nil
	}
	a = newHolderAccount(name, total, coordinators)
	h.accounts[name] = a
	return a
}

// Cancel removes a waiting request from its queue; false if it is not waiting any more.
func (h *LeaseHolder) Cancel(id uint64) bool {
	name, ok := h.waiting[id]
	if !ok {
		return false
	}
	delete(h.waiting, id)
	a := h.accounts[name]
	a.queue = slices.DeleteFunc(a.queue, func(x uint64) bool { return x == id })
	return true
}

// Refresh applies changes of accounts and coordinators. It releases the leases of accounts whose quota changed.
func (h *LeaseHolder) Refresh(now time.Duration) {
	for name, a := range h.accounts {
		total, coordinators := h.lookup(name)
		if total != a.total {
			for _, l := range a.leases {
				l.release(now)
			}
		}
		a.total = total
		if !slices.Equal(coordinators, a.coordinators) {
			a.coordinators = coordinators
			clear(a.askAgainAt)
		}
	}
}

// HandleNudge applies a nudge of a coordinator: it reduces a lease, or asks the coordinator again once tokens are ready
// there.
func (h *LeaseHolder) HandleNudge(now time.Duration, n Nudge) {
	s, ok := h.coordinators[n.Coordinator]
	a := h.accounts[n.Account]
	if !ok || a == nil || s.session != n.Session {
		return
	}
	if !n.Recall {
		a.askAgainAt[n.Coordinator] = min(a.askAgainAt[n.Coordinator], now+n.After)
		return
	}
	l, ok := a.leases[n.Coordinator]
	if !ok {
		return
	}
	reduced := l.quota.min(n.Quota)
	if reduced.Burst == 0 {
		reduced = Quota{}
	}
	l.returned += l.resize(now, reduced)
	l.releaseUnsent = true
	l.releaseSpentTokens()
}

// HandleFailure records that no reply to a request will come.
func (h *LeaseHolder) HandleFailure(now time.Duration, coordinator string, seq uint64) {
	s, ok := h.coordinators[coordinator]
	if !ok || !s.awaiting || s.seq != seq {
		return
	}
	h.stats.Timeouts++
	s.awaiting = false
	s.retryAt = now + h.timings.Retry
	for name := range s.accounts {
		if a := h.accounts[name]; a != nil {
			delete(a.awaiting, coordinator)
		}
	}
}

// HandleReply applies the reply of a coordinator. It ignores replies to other requests than the latest.
func (h *LeaseHolder) HandleReply(now time.Duration, coordinator string, r LeaseReply) {
	s, ok := h.coordinators[coordinator]
	if !ok || !s.awaiting || r.Seq != s.seq {
		return
	}
	s.awaiting = false
	if r.Unknown {
		h.dropSession(s, coordinator)
		return
	}
	s.session = r.Session
	for _, g := range r.Grants {
		h.applyGrant(now, coordinator, s, g)
	}
	for name := range s.accounts {
		if a := h.accounts[name]; a != nil {
			delete(a.awaiting, coordinator)
		}
	}
}

// dropSession drops a session that its coordinator does not have any more, with all its leases.
func (h *LeaseHolder) dropSession(s *coordinatorSession, coordinator string) {
	s.session = 0
	for name := range s.accounts {
		if a := h.accounts[name]; a != nil {
			delete(a.leases, coordinator)
			delete(a.awaiting, coordinator)
		}
	}
}

// applyGrant applies one grant. The term of its lease counts from when the request was sent.
func (h *LeaseHolder) applyGrant(now time.Duration, coordinator string, s *coordinatorSession, g Grant) {
	a := h.accounts[g.Account]
	if a == nil {
		return
	}
	if g.After > 0 {
		a.askAgainAt[coordinator] = now + g.After
	}
	expires := s.sentAt + h.timings.Lease
	a.dropExpired(now)
	l, ok := a.leases[coordinator]
	if !ok {
		l = &lease{}
		l.updatedAt = now
	}
	if now >= expires || (!ok && g.Quota.IsZero()) {
		return
	}
	a.leases[coordinator] = l
	l.expires = expires
	released := ok && l.releaseUnsent && l.quota.IsZero() // while the reply was in flight
	if released || g.Total != a.total {
		g.Quota = Quota{}
	}
	l.replace(now, g.Quota, g.Level)
}
