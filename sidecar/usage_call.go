package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/quota"
	"amaranthstile/result"
)

const (
	// relayedUsageTimeout bounds the call to the coordinator by an instance that relays it, so that its failure is known
	// before quota.UsageTimeout has passed at the caller.
	relayedUsageTimeout = 100 * time.Millisecond
	// coordinatorCooldown is how long a coordinator that did not respond is not called directly.
	coordinatorCooldown = time.Second
	// latePeriod is how long after a slow call further ones to the coordinator are expected to be slow.
	latePeriod = 3 * time.Second
)

// usageCall is one call to a coordinator, which may take several attempts by different paths.
type usageCall struct {
	quotas        *quotas
	queue         *usageQueue
	request       usageRequest // guarded by quotas.mu until run begins
	call          *quota.ReportCall
	outcomes      chan attemptOutcome
	lossConfirmed bool // a relay can't reach the coordinator either
}

// attemptOutcome is the outcome of one attempt.
type attemptOutcome struct {
	sequence quota.ReportSequence // of the report that was sent
	response usageResponse
	err      error
}

// newUsageCall returns the call that reports a batch; the calling function holds the lock.
func (q *quotas) newUsageCall(uq *usageQueue, batch []*pendingUsage) *usageCall {
	now := time.Now()
	x := &usageCall{quotas: q, queue: uq, request: q.newUsageRequest(uq, batch)}
	if relayed := now.Before(uq.relayUntil); q.countsReportsOnce(uq.id) {
		x.call = quota.NewReportCall(now, quota.CallPath{
			Repeats: &uq.repeats, Delay: uq.replyTime.RepeatDelay(),
			Late: now.Before(uq.lateUntil), Stalled: relayed || uq.underWay[uq.id] > 0,
		})
	} else {
		x.call = quota.NewSequentialCall(now, !relayed)
	}
	x.outcomes = make(chan attemptOutcome, quota.MaxReportAttempts)
	x.number()
	return x
}

// number gives the report the next sequence number; the calling function holds the lock.
func (x *usageCall) number() {
	q, uq := x.quotas, x.queue
	q.sequence++
	if !x.call.Repeatable() {
		x.request.Sequence = quota.ReportSequence(q.sequence)
		return
	}
	x.request.Sequence = quota.NewReportSequence(uq.stream, q.sequence)
	x.request.Acknowledged = max(uq.acknowledged, quota.NewReportSequence(uq.stream, 0))
	x.request.Late = x.call.Late()
	uq.latest = x.request.Sequence
}

// countsReportsOnce reports whether an instance recognizes repeated reports.
func (q *quotas) countsReportsOnce(id membership.ID) bool {
	r, ok := q.instance.members.Directory().Record(id)
	return ok && id != q.instance.id && r.Protocols[1] >= link.ProtocolRepeatedReports
}

// run makes the attempts until one gets a reply, or until the coordinator counts as unreachable.
func (x *usageCall) run() (usageResponse, error) {
	q := x.quotas
	if x.queue.id == q.instance.id {
		return q.countUsage(x.request), nil
	}
	err := result.New(result.LinkTimeout, "no reply from the coordinator %s", x.queue.id)
	for {
		now := time.Now()
		step, until := x.call.Next(now)
		switch step {
		case quota.AwaitReply:
			outcome, ok := x.await(until.Sub(now))
			switch {
			case !ok:
			case outcome.err != nil:
				err = outcome.err
				failed := outcome.response.Failed
				x.lossConfirmed = x.lossConfirmed || confirmsLoss(failed)
				x.call.HandleError(time.Now())
			case outcome.sequence == x.request.Sequence:
				x.noteSlow(time.Now())
				return outcome.response, nil
			}
		case quota.SendDirect:
			x.attempt(x.queue.id)
		case quota.SendByRelay:
			x.attempt(x.relay())
		case quota.Restate:
			x.restate()
		case quota.GiveUp:
			return usageResponse{}, err
		}
	}
}

// confirmsLoss reports whether the code with which a relay failed shows that it can't reach the coordinator. A version that
// does not suit the report, or an instance that is no longer the coordinator, shows nothing.
func confirmsLoss(failed result.Code) bool {
	return failed != result.OK && failed != result.LinkVersion && failed != result.NotReady
}

// await waits for the outcome of an attempt.
func (x *usageCall) await(d time.Duration) (attemptOutcome, bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case o := <-x.outcomes:
		return o, true
	case <-timer.C:
		return attemptOutcome{}, false
	}
}

// restate numbers the report anew.
func (x *usageCall) restate() {
	x.quotas.mu.Lock()
	defer x.quotas.mu.Unlock()
	x.number()
}

// noteSlow lets the next reports be stated as late if the reply was slow.
func (x *usageCall) noteSlow(now time.Time) {
	if x.call.Slow(now) {
		x.quotas.mu.Lock()
		defer x.quotas.mu.Unlock()
		x.queue.lateUntil = now.Add(latePeriod)
	}
}

// attempt sends the report to an instance, which relays it if it is not the coordinator.
func (x *usageCall) attempt(to membership.ID) {
	q, uq, request := x.quotas, x.queue, x.request
	start := time.Now()
	timeout := x.call.AttemptTimeout(start)
	q.mu.Lock()
	uq.underWay[to]++
	q.mu.Unlock()
	path := "relay"
	if to == uq.id {
		path = "direct"
	}
	q.counters.calls.WithLabelValues(path).Inc()
	go func() {
		o := attemptOutcome{sequence: request.Sequence}
		o.response, o.err = q.callInstance(to, request, timeout)
		q.mu.Lock()
		if uq.underWay[to]--; uq.underWay[to] == 0 {
			delete(uq.underWay, to)
		}
		switch {
		case to != uq.id:
		case o.err != nil:
			uq.relayUntil = time.Now().Add(coordinatorCooldown)
		default:
			uq.replyTime.Observe(time.Since(start))
		}
		q.mu.Unlock()
		x.outcomes <- o
	}()
}

// relay returns the instance to relay an attempt: often only the path between two instances is broken. If the report may be
// repeated, it is one that passes all of it on, and to which no attempt is under way.
func (x *usageCall) relay() membership.ID {
	q, uq := x.quotas, x.queue
	if !x.call.Repeatable() {
		return q.pickRelay(uq.id)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	busy := uq.id
	for _, id := range q.currentRelays() {
		r, ok := q.instance.members.Directory().Record(id)
		if !ok || r.Leaving || id == uq.id || !q.countsReportsOnce(id) {
			continue
		}
		if uq.underWay[id] == 0 {
			return id
		}
		busy = id
	}
	return busy
}

// currentRelays returns the relays of the present table of coordinators.
func (q *quotas) currentRelays() []membership.ID {
	if t := q.table.Load(); t != nil {
		return t.relays
	}
	return nil
}

// pickRelay returns a random instance to relay a call to a coordinator, preferably one of another failure domain: if it
// can't reach the coordinator either, this is not the fault of the own one. It returns the coordinator itself if there is
// no other instance.
func (q *quotas) pickRelay(coordinator membership.ID) membership.ID {
	var all, elsewhere []membership.ID
	for id, r := range q.instance.members.Directory().Records() {
		if id == coordinator || id == q.instance.id || r.Leaving {
			continue
		}
		all = append(all, id)
		if r.Domain != q.instance.options.Settings.Domain {
			elsewhere = append(elsewhere, id)
		}
	}
	if len(elsewhere) == 0 {
		elsewhere = all
	}
	if len(elsewhere) == 0 {
		return coordinator
	}
	return elsewhere[rand.IntN(len(elsewhere))]
}

// callInstance sends a request to one instance; a request to this instance itself needs no network call.
func (q *quotas) callInstance(id membership.ID, request usageRequest, timeout time.Duration) (response usageResponse, err error) {
	if id == q.instance.id {
		return q.countUsage(request), nil
	}
	r, ok := q.instance.members.Directory().Record(id)
	if !ok {
		return response, result.New(result.PeerUnknown, "the instance %s is not in the membership", id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err = q.instance.calls.Call(ctx, r.Control.String(), methodUsage, request, &response)
	if err == nil && response.Failed != result.OK {
		err = result.New(response.Failed, "%s could not relay the call to %s", id, request.Coordinator)
	}
	return response, err
}
