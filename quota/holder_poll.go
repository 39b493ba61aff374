package quota

import (
	"slices"
	"time"
)

// Poll admits waiting requests and returns the messages that are due.
func (h *LeaseHolder) Poll(now time.Duration) PollResult {
	res := PollResult{NextPoll: now + h.timings.Idle}
	for _, name := range sortedKeys(h.accounts) {
		a := h.accounts[name]
		h.admitWaiting(now, a, &res)
		if len(a.queue) == 0 && now >= a.lastUsed+h.timings.Idle {
			h.releaseIdle(now, a)
		}
	}
	for _, coordinator := range sortedKeys(h.coordinators) {
		h.pollCoordinator(now, coordinator, &res)
	}
	return res
}

// admitWaiting admits the requests that can proceed and notes which coordinators the remaining ones need.
func (h *LeaseHolder) admitWaiting(now time.Duration, a *holderAccount, res *PollResult) {
	a.dropExpired(now)
	for len(a.queue) > 0 && a.takeToken(now) {
		id := a.queue[0]
		a.queue = a.queue[1:]
		delete(h.waiting, id)
		h.stats.Admitted++
		res.Admitted = append(res.Admitted, id)
	}
	if len(a.queue) == 0 {
		return
	}
	if at, ok := a.nextTokenAt(now); ok {
		res.NextPoll = min(res.NextPoll, at)
	}
	for _, coordinator := range a.coordinators {
		h.session(coordinator).accounts[a.name] = true
	}
}

// session returns the state of the session with a coordinator, which it creates if necessary.
func (h *LeaseHolder) session(coordinator string) *coordinatorSession {
	s, ok := h.coordinators[coordinator]
	if !ok {
		s = &coordinatorSession{accounts: make(map[string]bool)}
		h.coordinators[coordinator] = s
	}
	return s
}

// releaseIdle releases the leases of an idle account. It drops the account once no lease is left and no reply is
// outstanding.
func (h *LeaseHolder) releaseIdle(now time.Duration, a *holderAccount) {
	for _, l := range a.leases {
		l.release(now)
	}
	if len(a.leases) == 0 && len(a.awaiting) == 0 {
		delete(h.accounts, a.name)
	}
}

// pollCoordinator adds the request to one coordinator if it is due, and handles the timeout of an outstanding one.
func (h *LeaseHolder) pollCoordinator(now time.Duration, coordinator string, res *PollResult) {
	s := h.coordinators[coordinator]
	if s.awaiting && now >= s.sentAt+h.timings.Timeout {
		h.HandleFailure(now, coordinator, s.seq)
	}
	if s.awaiting {
		res.NextPoll = min(res.NextPoll, s.sentAt+h.timings.Timeout)
		return
	}
	due, used := h.requestDue(now, coordinator, s, res)
	switch {
	case !used:
		if now >= s.renewAt+h.timings.SafeExpiry() {
			delete(h.coordinators, coordinator) // the session has expired at the coordinator as well
		}
		return
	case now < s.retryAt:
		res.NextPoll = min(res.NextPoll, s.retryAt)
		return
	case !due:
		return
	case now < s.sentAt+s.minGap():
		res.NextPoll = min(res.NextPoll, s.sentAt+s.minGap())
		return
	}
	res.Requests = append(res.Requests, OutgoingRequest{Coordinator: coordinator, Request: h.newRequest(now, coordinator, s)})
	res.NextPoll = min(res.NextPoll, s.sentAt+h.timings.Timeout)
}

// requestDue reports whether a request to the coordinator is due, and whether the session is needed at all.
func (h *LeaseHolder) requestDue(now time.Duration, coordinator string, s *coordinatorSession, res *PollResult) (due, used bool) {
	for name := range s.accounts {
		a := h.accounts[name]
		if a == nil || (a.leases[coordinator] == nil && len(a.queue) == 0) {
			delete(s.accounts, name)
			continue
		}
		used = true
		l := a.leases[coordinator]
		switch {
		case l != nil && (l.releaseUnsent || now >= s.renewAt), a.shouldAsk(now, coordinator, h.isUsable(now)):
			due = true
		case l != nil:
			res.NextPoll = min(res.NextPoll, s.renewAt)
		}
		if len(a.queue) > 0 && a.askAgainAt[coordinator] > now {
			res.NextPoll = min(res.NextPoll, a.askAgainAt[coordinator])
		}
	}
	return due, used
}

// isUsable returns a function that reports whether a coordinator may be asked now, as no request to it failed recently.
func (h *LeaseHolder) isUsable(now time.Duration) func(string) bool {
	return func(coordinator string) bool {
		s, ok := h.coordinators[coordinator]
		return !ok || now >= s.retryAt
	}
}

// newRequest returns a request that states the leases from a coordinator and asks for the tokens that waiting requests
// need.
func (h *LeaseHolder) newRequest(now time.Duration, coordinator string, s *coordinatorSession) LeaseRequest {
	h.lastSeq++
	s.seq = h.lastSeq
	s.sentAt, s.awaiting = now, true
	s.renewAt = now + h.timings.Renew
	r := LeaseRequest{Holder: h.id, Coordinator: coordinator, Session: s.session, Seq: s.seq}
	for _, name := range sortedKeys(s.accounts) {
		a := h.accounts[name]
		req := AccountRequest{Account: name, Total: a.total, Demand: a.demandTokens(now)}
		if a.shouldAsk(now, coordinator, h.isUsable(now)) {
			req.Want = a.missingTokens(now)
			a.awaiting[coordinator] = true
		}
		if l := a.leases[coordinator]; l != nil {
			req.Held, req.Returned = l.quota, l.returned
			l.statedBurst, l.returned, l.releaseUnsent = l.quota.Burst, 0, false
			if l.quota.IsZero() {
				delete(a.leases, coordinator)
			}
		} else if req.Want == 0 {
			continue
		}
		r.Accounts = append(r.Accounts, req)
	}
	h.stats.Requests++
	return r
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
