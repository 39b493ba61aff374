package contract

import (
	"slices"
	"time"
)

// OutgoingRequest is a request with the home that it goes to.
type OutgoingRequest struct {
	Coordinator string
	Request     LeaseRequest
}

// PollResult is what a Holder wants done.
type PollResult struct {
	// Admitted are the waiting requests that may go on.
	Admitted []uint64
	Requests []OutgoingRequest
	// NextPoll is when to ask again if nothing happens before.
	NextPoll time.Duration
}

// HolderStats counts what a holder did.
type HolderStats struct {
	Admitted  uint64 `json:"Admitted"`
	Waited    uint64 `json:"Waited"`
	Hopeless  uint64 `json:"Hopeless"`
	QueueFull uint64 `json:"QueueFull"`
	Requests  uint64 `json:"Requests"`
	Timeouts  uint64 `json:"Timeouts"`
	Lapsed    uint64 `json:"Lapsed"`
	// Accounts are the accounts with leases or waiting requests, Waiting the requests that wait.
	Accounts int `json:"Accounts"`
	Waiting  int `json:"Waiting"`
}

// LookupFunc gives the rate and burst of an account and its homes; a zero Share stands for no account.
type LookupFunc func(account string) (whole Quota, homes []string)

// LeaseHolder admits the requests at one instance from leases that it gets from homes. It is not safe for
// concurrent use.
type LeaseHolder struct {
	id       string
	terms    LeaseTimings
	lookup   LookupFunc
	lastID   uint64
	lastSeq  uint64 // never used twice, so that a late reply fits no other request
	accounts map[string]*heldAccount
	waiting  map[uint64]string // the account of each waiting request
	homes    map[string]*homeLink
	stats    HolderStats
}

// homeLink is the state of the session with one home.
type homeLink struct {
	session  uint64
	seq      uint64
	sent     time.Duration
	awaiting bool
	renewAt  time.Duration
	failed   time.Duration // not used before
	accounts map[string]bool
}

// gap is the least time between two requests: what several accounts need goes together.
func (l *homeLink) gap() time.Duration {
	return min(time.Duration(len(l.accounts)-1)*gapPerAccount, longestGap)
}

const (
	gapPerAccount = time.Millisecond
	longestGap    = 50 * time.Millisecond
)

// NewLeaseHolder returns a holder without leases.
func NewLeaseHolder(id string, t LeaseTimings, lookup LookupFunc) *LeaseHolder {
	return &LeaseHolder{
		id:       id,
		terms:    t,
		lookup:   lookup,
		accounts: make(map[string]*heldAccount),
		waiting:  make(map[uint64]string),
		homes:    make(map[string]*homeLink),
	}
}

// Stats returns the counts so far.
func (h *LeaseHolder) Stats() HolderStats {
	s := h.stats
	s.Accounts, s.Waiting = len(h.accounts), len(h.waiting)
	return s
}

// AdmitDecision is the answer to a request that asks for a token.
type AdmitDecision int

// The verdicts.
const (
	// AdmitNow lets the request go on at once.
	AdmitNow AdmitDecision = iota
	// Queued queues it.
	Queued
	// DeadlineTooShort says that no token can come before the deadline.
	DeadlineTooShort
	// QueueFull says that too many requests of the account wait here.
	QueueFull
	// UnknownAccount says that there is no such account.
	UnknownAccount
)

// Admit decides on a request that came now. A queued one gets a number; after says for Hopeless how
// long it would have to wait at least.
func (h *LeaseHolder) Admit(now time.Duration, account string, deadline time.Duration) (v AdmitDecision, id uint64, after time.Duration) {
	a := h.account(account)
	if a == nil {
		return UnknownAccount, 0, 0
	}
	a.arrive(now)
	if len(a.queue) == 0 && a.take(now) {
		h.stats.Admitted++
		return AdmitNow, 0, 0
	}
	if wait := a.hopeless(); wait > deadline-now {
		h.stats.Hopeless++
		return DeadlineTooShort, 0, wait
	}
	if len(a.queue) >= maxWaiting {
		h.stats.QueueFull++
		return QueueFull, 0, 0
	}
	h.lastID++
	a.queue = append(a.queue, h.lastID)
	h.waiting[h.lastID] = account
	h.stats.Waited++
	return Queued, h.lastID, 0
}

func (h *LeaseHolder) account(name string) *heldAccount {
	a, ok := h.accounts[name]
	if ok {
		return a
	}
	whole, homes := h.lookup(name)
	if whole.IsZero() {
		return nil
	}
	a = newHeldAccount(name, whole, homes)
	h.accounts[name] = a
	return a
}

// Cancel takes a waiting request out of its queue; false if it is not waiting any more.
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

// Refresh takes over changed accounts and homes. Leases of an account whose rate or burst changed are let go.
func (h *LeaseHolder) Refresh(now time.Duration) {
	for name, a := range h.accounts {
		whole, homes := h.lookup(name)
		if whole != a.whole {
			for _, l := range a.leases {
				l.letGo(now)
			}
		}
		a.whole = whole
		if !slices.Equal(homes, a.homes) {
			a.homes = homes
			clear(a.after)
		}
	}
}

// HandleNudge takes over what a home asks for.
func (h *LeaseHolder) HandleNudge(now time.Duration, n Nudge) {
	link, ok := h.homes[n.Coordinator]
	a := h.accounts[n.Account]
	if !ok || a == nil || link.session != n.Session {
		return
	}
	if !n.Recall {
		a.after[n.Coordinator] = min(a.after[n.Coordinator], now+n.After)
		return
	}
	l, ok := a.leases[n.Coordinator]
	if !ok {
		return
	}
	to := l.share.min(n.Quota)
	if to.Burst == 0 {
		to = Quota{}
	}
	l.returned += l.resize(now, to)
	l.changed = true
	l.settleTokens()
}

// HandleFailure says that no reply to a request will come.
func (h *LeaseHolder) HandleFailure(now time.Duration, home string, seq uint64) {
	link, ok := h.homes[home]
	if !ok || !link.awaiting || link.seq != seq {
		return
	}
	h.stats.Timeouts++
	link.awaiting = false
	link.failed = now + h.terms.Retry
	for name := range link.accounts {
		if a := h.accounts[name]; a != nil {
			delete(a.asked, home)
		}
	}
}

// HandleReply takes over the answer to the latest request to a home.
func (h *LeaseHolder) HandleReply(now time.Duration, home string, r LeaseReply) {
	link, ok := h.homes[home]
	if !ok || !link.awaiting || r.Seq != link.seq {
		return
	}
	link.awaiting = false
	if r.Unknown {
		h.lose(link, home)
		return
	}
	link.session = r.Session
	for _, g := range r.Grants {
		h.take(now, home, link, g)
	}
	for name := range link.accounts {
		if a := h.accounts[name]; a != nil {
			delete(a.asked, home)
		}
	}
}

// lose gives up the session with a home that does not know it any more.
func (h *LeaseHolder) lose(link *homeLink, home string) {
	link.session = 0
	for name := range link.accounts {
		if a := h.accounts[name]; a != nil {
			delete(a.leases, home)
			delete(a.asked, home)
		}
	}
}

// take takes over one grant. Its lease counts from when the request was sent.
func (h *LeaseHolder) take(now time.Duration, home string, link *homeLink, g Grant) {
	a := h.accounts[g.Account]
	if a == nil {
		return
	}
	if g.After > 0 {
		a.after[home] = now + g.After
	}
	expires := link.sent + h.terms.Lease
	a.prune(now)
	l, ok := a.leases[home]
	if !ok {
		l = &lease{}
		l.at = now
	}
	if now >= expires || (!ok && g.Quota.IsZero()) {
		return
	}
	a.leases[home] = l
	l.expires = expires
	letGo := ok && l.changed && l.share.IsZero() // while the reply was under way
	if letGo || g.Total != a.whole {
		g.Quota = Quota{}
	}
	l.replace(now, g.Quota, g.Level)
}
