package contract

import (
	"slices"
	"time"
)

// Poll admits waiting requests and gives the requests that are due.
func (h *LeaseHolder) Poll(now time.Duration) PollResult {
	w := PollResult{NextPoll: now + h.timings.Idle}
	for _, name := range sortedKeys(h.accounts) {
		a := h.accounts[name]
		h.admitWaiting(now, a, &w)
		if len(a.queue) == 0 && now >= a.lastUsed+h.timings.Idle {
			h.releaseIdle(now, a)
		}
	}
	for _, home := range sortedKeys(h.homes) {
		h.pollHome(now, home, &w)
	}
	return w
}

// admitWaiting admits what can go on and notes which homes the rest needs.
func (h *LeaseHolder) admitWaiting(now time.Duration, a *holderAccount, w *PollResult) {
	a.dropExpired(now)
	for len(a.queue) > 0 && a.takeToken(now) {
		id := a.queue[0]
		a.queue = a.queue[1:]
		delete(h.waiting, id)
		h.stats.Admitted++
		w.Admitted = append(w.Admitted, id)
	}
	if len(a.queue) == 0 {
		return
	}
	if at, ok := a.nextTokenAt(now); ok {
		w.NextPoll = min(w.NextPoll, at)
	}
	for _, home := range a.homes {
		h.session(home).accounts[a.name] = true
	}
}

func (h *LeaseHolder) session(home string) *homeSession {
	l, ok := h.homes[home]
	if !ok {
		l = &homeSession{accounts: make(map[string]bool)}
		h.homes[home] = l
	}
	return l
}

// releaseIdle lets an idle account go.
func (h *LeaseHolder) releaseIdle(now time.Duration, a *holderAccount) {
	for _, l := range a.leases {
		l.release(now)
	}
	if len(a.leases) == 0 && len(a.awaiting) == 0 {
		delete(h.accounts, a.name)
	}
}

// pollHome sends the request to one home that is due.
func (h *LeaseHolder) pollHome(now time.Duration, home string, w *PollResult) {
	link := h.homes[home]
	if link.awaiting && now >= link.sentAt+h.timings.Timeout {
		h.HandleFailure(now, home, link.seq)
	}
	if link.awaiting {
		w.NextPoll = min(w.NextPoll, link.sentAt+h.timings.Timeout)
		return
	}
	due, used := h.requestDue(now, home, link, w)
	switch {
	case !used:
		if now >= link.renewAt+h.timings.SafeExpiry() {
			delete(h.homes, home) // the session lapses there as well
		}
		return
	case now < link.retryAt:
		w.NextPoll = min(w.NextPoll, link.retryAt)
		return
	case !due:
		return
	case now < link.sentAt+link.minGap():
		w.NextPoll = min(w.NextPoll, link.sentAt+link.minGap())
		return
	}
	w.Requests = append(w.Requests, OutgoingRequest{Home: home, Request: h.newRequest(now, home, link)})
	w.NextPoll = min(w.NextPoll, link.sentAt+h.timings.Timeout)
}

// requestDue reports whether the home has to be asked now, and whether the session is needed at all.
func (h *LeaseHolder) requestDue(now time.Duration, home string, link *homeSession, w *PollResult) (due, used bool) {
	for name := range link.accounts {
		a := h.accounts[name]
		if a == nil || (a.leases[home] == nil && len(a.queue) == 0) {
			delete(link.accounts, name)
			continue
		}
		used = true
		l := a.leases[home]
		switch {
		case l != nil && (l.releaseUnsent || now >= link.renewAt), a.shouldAsk(now, home, h.isUsable(now)):
			due = true
		case l != nil:
			w.NextPoll = min(w.NextPoll, link.renewAt)
		}
		if len(a.queue) > 0 && a.askAgainAt[home] > now {
			w.NextPoll = min(w.NextPoll, a.askAgainAt[home])
		}
	}
	return due, used
}

func (h *LeaseHolder) isUsable(now time.Duration) func(string) bool {
	return func(home string) bool {
		link, ok := h.homes[home]
		return !ok || now >= link.retryAt
	}
}

// newRequest states what is held from a home and asks for what is wanted.
func (h *LeaseHolder) newRequest(now time.Duration, home string, link *homeSession) LeaseRequest {
	h.lastSeq++
	link.seq = h.lastSeq
	link.sentAt, link.awaiting = now, true
	link.renewAt = now + h.timings.Renew
	r := LeaseRequest{Holder: h.id, Home: home, Session: link.session, Seq: link.seq}
	for _, name := range sortedKeys(link.accounts) {
		a := h.accounts[name]
		line := AccountRequest{Account: name, Total: a.total, Demand: a.demandTokens(now)}
		if a.shouldAsk(now, home, h.isUsable(now)) {
			line.Want = a.missingTokens(now)
			a.awaiting[home] = true
		}
		if l := a.leases[home]; l != nil {
			line.Held, line.Returned = l.quota, l.returned
			l.statedBurst, l.returned, l.releaseUnsent = l.quota.Burst, 0, false
			if l.quota.IsZero() {
				delete(a.leases, home)
			}
		} else if line.Want == 0 {
			continue
		}
		r.Accounts = append(r.Accounts, line)
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
