package contract

import (
	"slices"
	"time"
)

// Poll admits waiting requests and gives the requests that are due.
func (h *LeaseHolder) Poll(now time.Duration) PollResult {
	w := PollResult{NextPoll: now + h.terms.Idle}
	for _, name := range sortedKeys(h.accounts) {
		a := h.accounts[name]
		h.serve(now, a, &w)
		if len(a.queue) == 0 && now >= a.used+h.terms.Idle {
			h.release(now, a)
		}
	}
	for _, home := range sortedKeys(h.homes) {
		h.pollHome(now, home, &w)
	}
	return w
}

// serve admits what can go on and notes which homes the rest needs.
func (h *LeaseHolder) serve(now time.Duration, a *heldAccount, w *PollResult) {
	a.prune(now)
	for len(a.queue) > 0 && a.take(now) {
		id := a.queue[0]
		a.queue = a.queue[1:]
		delete(h.waiting, id)
		h.stats.Admitted++
		w.Admitted = append(w.Admitted, id)
	}
	if len(a.queue) == 0 {
		return
	}
	if at, ok := a.ready(now); ok {
		w.NextPoll = min(w.NextPoll, at)
	}
	for _, home := range a.homes {
		h.link(home).accounts[a.name] = true
	}
}

func (h *LeaseHolder) link(home string) *homeLink {
	l, ok := h.homes[home]
	if !ok {
		l = &homeLink{accounts: make(map[string]bool)}
		h.homes[home] = l
	}
	return l
}

// release lets an idle account go.
func (h *LeaseHolder) release(now time.Duration, a *heldAccount) {
	for _, l := range a.leases {
		l.letGo(now)
	}
	if len(a.leases) == 0 && len(a.asked) == 0 {
		delete(h.accounts, a.name)
	}
}

// pollHome sends the request to one home that is due.
func (h *LeaseHolder) pollHome(now time.Duration, home string, w *PollResult) {
	link := h.homes[home]
	if link.awaiting && now >= link.sent+h.terms.Timeout {
		h.HandleFailure(now, home, link.seq)
	}
	if link.awaiting {
		w.NextPoll = min(w.NextPoll, link.sent+h.terms.Timeout)
		return
	}
	due, used := h.isDue(now, home, link, w)
	switch {
	case !used:
		if now >= link.renewAt+h.terms.SafeExpiry() {
			delete(h.homes, home) // the session lapses there as well
		}
		return
	case now < link.failed:
		w.NextPoll = min(w.NextPoll, link.failed)
		return
	case !due:
		return
	case now < link.sent+link.gap():
		w.NextPoll = min(w.NextPoll, link.sent+link.gap())
		return
	}
	w.Requests = append(w.Requests, OutgoingRequest{Coordinator: home, Request: h.request(now, home, link)})
	w.NextPoll = min(w.NextPoll, link.sent+h.terms.Timeout)
}

// isDue reports whether the home has to be asked now, and whether the session is needed at all.
func (h *LeaseHolder) isDue(now time.Duration, home string, link *homeLink, w *PollResult) (due, used bool) {
	for name := range link.accounts {
		a := h.accounts[name]
		if a == nil || (a.leases[home] == nil && len(a.queue) == 0) {
			delete(link.accounts, name)
			continue
		}
		used = true
		l := a.leases[home]
		switch {
		case l != nil && (l.changed || now >= link.renewAt), a.asksAt(now, home, h.usable(now)):
			due = true
		case l != nil:
			w.NextPoll = min(w.NextPoll, link.renewAt)
		}
		if len(a.queue) > 0 && a.after[home] > now {
			w.NextPoll = min(w.NextPoll, a.after[home])
		}
	}
	return due, used
}

func (h *LeaseHolder) usable(now time.Duration) func(string) bool {
	return func(home string) bool {
		link, ok := h.homes[home]
		return !ok || now >= link.failed
	}
}

// request states what is held from a home and asks for what is wanted.
func (h *LeaseHolder) request(now time.Duration, home string, link *homeLink) LeaseRequest {
	h.lastSeq++
	link.seq = h.lastSeq
	link.sent, link.awaiting = now, true
	link.renewAt = now + h.terms.Renew
	r := LeaseRequest{Holder: h.id, Coordinator: home, Session: link.session, Seq: link.seq}
	for _, name := range sortedKeys(link.accounts) {
		a := h.accounts[name]
		line := AccountRequest{Account: name, Total: a.whole, Demand: a.wanted(now)}
		if a.asksAt(now, home, h.usable(now)) {
			line.Want = a.missing(now)
			a.asked[home] = true
		}
		if l := a.leases[home]; l != nil {
			line.Held, line.Returned = l.share, l.returned
			l.stated, l.returned, l.changed = l.share.Burst, 0, false
			if l.share.IsZero() {
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
