package sidecar

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"amaranthstile/event"
	"amaranthstile/membership"
	"amaranthstile/quota"
	"amaranthstile/result"
)

// usageRequest is the usage, by account, that an instance reports to a coordinator.
type usageRequest struct {
	// Coordinator is the instance whose count is meant; another instance that receives the call relays it, once.
	Coordinator membership.ID `json:"home"`
	From        membership.ID `json:"from"`
	Relayed     bool          `json:"relayed,omitempty"`
	// Sequence grows with each report of From.
	Sequence uint64 `json:"sequence,omitempty"`
	// Moved is set if some of the accounts had another coordinator before, as far as From has observed.
	Moved    bool             `json:"moved,omitempty"`
	Accounts map[string]usage `json:"accounts"`
}

// usage is what an instance reports of one account.
type usage struct {
	// Spent is the number of requests that were admitted already.
	Spent int `json:"spent,omitempty"`
	// Requested is the number of requests that wait for the coordinator's decision.
	Requested int `json:"asked,omitempty"`
	// Held is the number of requests that the coordinator has reserved and that were not admitted yet.
	Held int `json:"held,omitempty"`
}

type usageResponse struct {
	// Coordinator is the instance that has counted the usage.
	Coordinator membership.ID                `json:"home,omitempty"`
	Accounts    map[string]quota.BucketState `json:"accounts"`
	// Failed is the code of the error with which an instance failed to relay the call to the coordinator, or 0. No
	// instance has counted the usage then.
	Failed result.Code `json:"failed,omitempty"`
}

// usageQueue holds the usage that waits to be reported to one coordinator.
type usageQueue struct {
	id               membership.ID
	relayUntil       time.Time       // until then calls to it are relayed; guarded by quotas.mu
	unreachableUntil time.Time       // until then it counts as unreachable; guarded by quotas.mu
	pending          []*pendingUsage // guarded by quotas.mu
	sending          bool            // guarded by quotas.mu
}

// pendingUsage is one request that is to be reported to a coordinator; decision is nil if the request was admitted
// already.
type pendingUsage struct {
	account  string
	decision chan usageDecision
}

type usageDecision struct {
	granted    bool
	retryAfter time.Duration
	err        error
}

// queue returns the queue for a coordinator; the calling function holds the lock.
func (q *quotas) queue(id membership.ID) *usageQueue {
	uq := q.queues[id]
	if uq == nil {
		uq = &usageQueue{id: id}
		q.queues[id] = uq
	}
	return uq
}

// enqueue adds a request to those that the next call reports to a coordinator; the calling function holds the lock.
func (q *quotas) enqueue(uq *usageQueue, p *pendingUsage) {
	if len(uq.pending) >= maxPendingUsage {
		if p.decision != nil {
			p.decision <- usageDecision{err: result.New(result.LinkBusy, "the queue of usage for the coordinator is full")}
		}
		return
	}
	uq.pending = append(uq.pending, p)
	if !uq.sending {
		uq.sending = true
		go q.sendPending(uq)
	}
}

// sendPending reports to a coordinator, one batch after the other, until nothing is pending.
func (q *quotas) sendPending(uq *usageQueue) {
	for {
		q.mu.Lock()
		batch := uq.pending
		uq.pending = nil
		if len(batch) == 0 {
			uq.sending = false
			q.mu.Unlock()
			return
		}
		request := q.newUsageRequest(uq, batch)
		q.mu.Unlock()
		response, err := q.send(uq, request)
		q.applyResponse(uq, batch, request, response, err)
	}
}

// newUsageRequest returns the request that reports a batch to its coordinator; the calling function holds the lock.
func (q *quotas) newUsageRequest(uq *usageQueue, batch []*pendingUsage) usageRequest {
	now := time.Now()
	q.sequence++
	request := usageRequest{Coordinator: uq.id, From: q.instance.id, Sequence: q.sequence, Accounts: make(map[string]usage)}
	for _, p := range batch {
		u, ok := request.Accounts[p.account]
		if !ok {
			local := q.localQuota(p.account)
			u.Held = local.Held(now)
			request.Moved = request.Moved || local.CoordinatorChanged(now, string(uq.id))
			u.Spent = local.TakeUnreported()
		}
		if p.decision == nil {
			u.Spent++
		} else {
			u.Requested++
		}
		request.Accounts[p.account] = u
	}
	return request
}

// send calls a coordinator directly. If the coordinator did not respond recently or does not respond now, another
// instance relays the call: often only the network path between two instances is broken.
func (q *quotas) send(uq *usageQueue, request usageRequest) (usageResponse, error) {
	q.mu.Lock()
	direct := time.Now().After(uq.relayUntil)
	q.mu.Unlock()
	if direct {
		response, err := q.callInstance(uq.id, request)
		if err == nil {
			return response, nil
		}
		q.mu.Lock()
		uq.relayUntil = time.Now().Add(coordinatorCooldown)
		q.mu.Unlock()
	}
	return q.callInstance(q.pickRelay(uq.id), request)
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
func (q *quotas) callInstance(id membership.ID, request usageRequest) (response usageResponse, err error) {
	if id == q.instance.id {
		return q.countUsage(request), nil
	}
	r, ok := q.instance.members.Directory().Record(id)
	if !ok {
		return response, result.New(result.PeerUnknown, "the instance %s is not in the membership", id)
	}
	timeout := usageTimeout
	if request.Relayed {
		timeout = relayedUsageTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err = q.instance.calls.Call(ctx, r.Control.String(), methodUsage, request, &response)
	if err == nil && response.Failed != result.OK {
		err = result.New(response.Failed, "%s could not relay the call to %s", id, request.Coordinator)
	}
	return response, err
}

// applyResponse records the result of a call to a coordinator and passes its decisions to the waiting requests.
func (q *quotas) applyResponse(
	uq *usageQueue, batch []*pendingUsage, request usageRequest, response usageResponse, err error,
) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		q.instance.options.Events.Log(event.HomeSilent,
			event.F("home", string(uq.id)), event.F("code", int(result.CodeOf(err))),
			event.F("accounts", len(request.Accounts)))
		uq.unreachableUntil = now.Add(coordinatorRetryInterval)
	}
	for name, u := range request.Accounts {
		state, known := response.Accounts[name]
		if err != nil || !known {
			local := q.localQuota(name)
			local.HandleFailure(now, u.Spent, q.localShareOf(now, name))
			if response.Failed != result.OK {
				local.ConfirmLoss(now)
			}
			continue
		}
		q.localQuota(name).HandleReply(now, string(cmp.Or(response.Coordinator, uq.id)), state)
	}
	for _, p := range batch {
		if p.decision != nil {
			p.decision <- decisionOf(p.account, response, err)
		}
	}
}

// decisionOf returns the decision on one request of an account, and takes the grant that it uses from the response. A
// coordinator that does not know the account has not decided: its configuration may be older.
func decisionOf(account string, response usageResponse, err error) usageDecision {
	if err != nil {
		return usageDecision{err: err}
	}
	state, known := response.Accounts[account]
	if !known {
		return usageDecision{err: result.New(result.NotReady, "the coordinator does not know the account %s", account)}
	}
	d := usageDecision{granted: state.Granted > 0, retryAfter: time.Duration(state.NextMillis) * time.Millisecond}
	state.Granted--
	response.Accounts[account] = state
	return d
}
