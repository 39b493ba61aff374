package sidecar

import (
	"cmp"
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
	// Sequence grows with each report of From, and Acknowledged is the latest one before to which a reply was applied; see
	// quota.Report. Earlier versions don't know Acknowledged and Late.
	Sequence     quota.ReportSequence `json:"sequence,omitempty"`
	Acknowledged quota.ReportSequence `json:"acknowledged,omitempty"`
	Late         bool                 `json:"late,omitempty"`
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

// usageQueue holds the usage that waits to be reported to one coordinator. All fields but id and stream are guarded by
// quotas.mu.
type usageQueue struct {
	id               membership.ID
	stream           uint64    // of the sequence numbers of its reports
	relayUntil       time.Time // until then calls to it are relayed
	lateUntil        time.Time // until then calls to it are expected to be slow
	repeats          quota.RepeatBudget
	replyTime        quota.ReplyTime // of the direct path
	unreachableUntil time.Time       // until then it counts as unreachable
	pending          []*pendingUsage
	sending          bool
	underWay         map[membership.ID]int // attempts without an outcome, by the first instance on their path
	// latest is the latest report, and acknowledged the latest one to which a reply was applied.
	latest, acknowledged quota.ReportSequence
	unreported           []string          // the accounts of a report that got no reply
	table                *coordinatorTable // when the latest report was made
}

// pendingUsage is one request that is to be reported to a coordinator; decision is nil if the request was admitted
// already.
type pendingUsage struct {
	account  string
	decision chan usageDecision
	left     bool // it waits no longer; guarded by quotas.mu
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
		q.streams++
		uq = &usageQueue{id: id, stream: q.streams, underWay: make(map[membership.ID]int)}
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
		call := q.newUsageCall(uq, batch)
		q.mu.Unlock()
		response, err := call.run()
		q.applyResponse(call, batch, response, err)
	}
}

// newUsageRequest returns the request that reports a batch to its coordinator; the calling function holds the lock. If the
// previous report got no reply, this one includes what that reported.
func (q *quotas) newUsageRequest(uq *usageQueue, batch []*pendingUsage) usageRequest {
	now := time.Now()
	request := usageRequest{Coordinator: uq.id, From: q.instance.id, Accounts: make(map[string]usage)}
	add := func(account string, spent, requested int) {
		u, ok := request.Accounts[account]
		if !ok {
			local := q.localQuota(account)
			u.Held = local.Held(now)
			request.Moved = request.Moved || local.CoordinatorChanged(now, string(uq.id))
			u.Spent = local.TakeUnreported()
		}
		u.Spent, u.Requested = u.Spent+spent, u.Requested+requested
		request.Accounts[account] = u
	}
	if t := q.table.Load(); uq.table != t { // what is unreported may go to another coordinator
		uq.table, uq.acknowledged, uq.unreported = t, uq.latest, nil
	}
	for _, account := range uq.unreported {
		add(account, 0, 0)
	}
	for _, p := range batch {
		if p.decision == nil {
			add(p.account, 1, 0)
		} else {
			add(p.account, 0, 1)
		}
	}
	return request
}

// applyResponse records the result of a call to a coordinator and passes its decisions to the waiting requests.
func (q *quotas) applyResponse(call *usageCall, batch []*pendingUsage, response usageResponse, err error) {
	now := time.Now()
	uq, request := call.queue, call.request
	q.mu.Lock()
	defer q.mu.Unlock()
	uq.unreported = nil
	if err != nil {
		q.instance.options.Events.Log(event.HomeSilent,
			event.F("home", string(uq.id)), event.F("code", int(result.CodeOf(err))),
			event.F("accounts", len(request.Accounts)))
		uq.unreachableUntil = now.Add(coordinatorRetryInterval)
	} else {
		uq.acknowledged = request.Sequence
	}
	for name, u := range request.Accounts {
		state, known := response.Accounts[name]
		if err != nil || !known {
			local := q.localQuota(name)
			local.HandleFailure(now, u.Spent, q.localShareOf(now, name))
			if call.lossConfirmed {
				local.ConfirmLoss(now)
			}
			uq.unreported = append(uq.unreported, name)
			continue
		}
		q.localQuota(name).HandleReply(now, string(cmp.Or(response.Coordinator, uq.id)), state)
	}
	for _, p := range batch {
		if p.decision != nil && !p.left {
			p.decision <- call.decisionOf(now, p.account, response, err)
		}
	}
}

// decisionOf returns the decision on one request of an account, and takes the grant that it uses from the response. A
// coordinator that does not know the account has not decided: its configuration may be older.
func (x *usageCall) decisionOf(now time.Time, account string, response usageResponse, err error) usageDecision {
	if err != nil {
		return usageDecision{err: err}
	}
	state, known := response.Accounts[account]
	if !known {
		return usageDecision{err: result.New(result.NotReady, "the coordinator does not know the account %s", account)}
	}
	if state.Granted > 0 && !x.call.MayUse(now, state) {
		return usageDecision{err: result.New(result.LinkTimeout, "the coordinator's reply came too late to be used")}
	}
	d := usageDecision{granted: state.Granted > 0, retryAfter: time.Duration(state.NextMillis) * time.Millisecond}
	state.Granted--
	response.Accounts[account] = state
	return d
}
