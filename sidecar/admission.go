package sidecar

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"amaranthstile/internal/httpserver"
	"amaranthstile/internal/wait"
	"amaranthstile/quota"
	"amaranthstile/result"
)

// refusalReason is why a request of a client account was refused, as metrics name it.
type refusalReason string

const (
	// refusedByCoordinator means that the coordinator had no token.
	refusedByCoordinator refusalReason = "coordinator"
	// refusedUntilRefill means that the coordinator had told that it has none until later.
	refusedUntilRefill refusalReason = "refill"
	// refusedUnreachable means that the coordinator could not be reached and the instance's own share was used up.
	refusedUnreachable refusalReason = "unreachable"
	// refusedUndecided means that no decision came in time and the instance's own share was used up.
	refusedUndecided refusalReason = "undecided"
)

// quotaCounters count what becomes of the requests of client accounts, and the attempts to call their coordinators.
type quotaCounters struct{ refusals, calls *prometheus.CounterVec }

func newQuotaCounters() quotaCounters {
	counter := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: httpserver.Namespace, Name: name, Help: help}, []string{label})
	}
	return quotaCounters{
		refusals: counter("account_refusals_total", "Requests of client accounts refused here for their rate, by reason.", "reason"),
		calls:    counter("account_calls_total", "Attempts to call the coordinators of client accounts, by path (direct or relay).", "path"),
	}
}

// refusal is a refusal of a request; a token is expected after some time.
type refusal struct {
	reason refusalReason
	after  time.Duration
}

// Admit implements quota.Admitter.
func (q *quotas) Admit(ctx context.Context, account *quota.Account) error {
	if account.Rate >= unlimitedRate {
		return nil
	}
	w := quota.NewDecisionWait(ctx, time.Now())
	for {
		r, err := q.decide(ctx, account, w)
		if r == nil || err != nil {
			return err
		}
		if !q.asksAgain(account, w, r) {
			q.counters.refusals.WithLabelValues(string(r.reason)).Inc()
			return result.WithRetryAfter(
				result.New(result.RateExceeded, "the rate and burst of %s are used up (%s)", account.Name, r.reason),
				max(r.after, minRetryAfter),
			)
		}
		wait.Sleep(ctx, r.after)
	}
}

// asksAgain reports whether a request that was refused asks the coordinator again.
func (q *quotas) asksAgain(account *quota.Account, w *quota.DecisionWait, r *refusal) bool {
	if r.reason != refusedByCoordinator && r.reason != refusedUntilRefill {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return w.AskAgain(time.Now(), r.after, q.localQuota(account.Name))
}

// decide decides on one request, by what this instance knows or by asking the coordinator. It returns nil if the request is
// admitted.
func (q *quotas) decide(ctx context.Context, account *quota.Account, w *quota.DecisionWait) (*refusal, error) {
	now := time.Now()
	id := q.coordinatorOf(account.Name)
	q.mu.Lock()
	uq := q.queue(id)
	local := q.localQuota(account.Name)
	reachable := now.After(uq.unreachableUntil)
	action, after := local.Admit(now, reachable, q.localShare(now, account))
	var p *pendingUsage
	switch action {
	case quota.SpendNow:
		p = &pendingUsage{account: account.Name}
	case quota.AskCoordinator:
		p = &pendingUsage{account: account.Name, decision: make(chan usageDecision, 1)}
	}
	if p != nil {
		q.enqueue(uq, p)
	}
	q.mu.Unlock()
	switch {
	case action == quota.AskCoordinator:
		return q.awaitDecision(ctx, account, p, w)
	case action == quota.Refuse && reachable:
		return &refusal{refusedUntilRefill, after}, nil
	case action == quota.Refuse:
		return &refusal{refusedUnreachable, after}, nil
	}
	return nil, nil
}

// awaitDecision waits for the coordinator's decision. If none arrives in time, the instance's own share decides.
func (q *quotas) awaitDecision(
	ctx context.Context, account *quota.Account, p *pendingUsage, w *quota.DecisionWait,
) (*refusal, error) {
	timer := time.NewTimer(w.Left(time.Now()))
	defer timer.Stop()
	reason := refusedUndecided
	var d usageDecision
	select {
	case d = <-p.decision:
		reason = refusedUnreachable
	case <-timer.C:
		d = q.leave(p)
	case <-ctx.Done():
		q.leave(p)
		return nil, result.New(result.DeadlinePassed, "the request's deadline passed before its quota was decided")
	}
	switch {
	case d.err == nil && d.granted:
		return nil, nil
	case d.err == nil:
		return &refusal{refusedByCoordinator, d.retryAfter}, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if action, after := q.localQuota(account.Name).Admit(now, false, q.localShare(now, account)); action == quota.Refuse {
		return &refusal{reason, after}, nil
	}
	return nil, nil
}

// leave ends the wait of a request, so that a later decision goes to another one. It returns the decision if that has arrived
// just now.
func (q *quotas) leave(p *pendingUsage) usageDecision {
	q.mu.Lock()
	defer q.mu.Unlock()
	p.left = true
	select {
	case d := <-p.decision:
		return d
	default:
		return usageDecision{err: result.New(result.LinkTimeout, "no decision of the coordinator arrived in time")}
	}
}
