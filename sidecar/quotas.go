package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/event"
	"amaranthstile/internal/wait"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/quota"
	"amaranthstile/result"
)

// methodUsage reports usage to a coordinator and requests more of the quota.
const methodUsage link.Method = "account.usage"

const (
	// usageTimeout bounds one call to a coordinator: many times its usual latency, and a small part of a request's
	// time limit.
	usageTimeout = 150 * time.Millisecond
	// coordinatorCooldown is how long a coordinator that did not respond is not called directly, and how long each
	// instance admits requests from its own share after a failed call.
	coordinatorCooldown = time.Second
	// instancesPerCoordinator is how many instances share a coordinator; a larger fleet spreads the accounts over more
	// coordinators.
	instancesPerCoordinator = 32
	// maxPendingUsage bounds the requests that wait to be reported to one coordinator.
	maxPendingUsage = 1024
	// unlimitedRate is the rate from which an account counts as one without a limit.
	unlimitedRate = 1e8
	// minRetryAfter keeps clients that were refused from retrying immediately and all at once.
	minRetryAfter = 200 * time.Millisecond
)

// usageRequest is the usage, by account, that an instance reports to a coordinator.
type usageRequest struct {
	// Coordinator is the instance whose count is meant; another instance that receives the call relays it, once.
	Coordinator membership.ID `json:"home"`
	From        membership.ID `json:"from"`
	Relayed     bool          `json:"relayed,omitempty"`
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
	// LastKnown is the level of the account that the instance last received from another coordinator.
	LastKnown *quota.KnownLevel `json:"known,omitempty"`
}

type usageResponse struct {
	Accounts map[string]quota.BucketState `json:"accounts"`
}

// quotas keeps each client account within its rate and burst over the whole fleet. It implements quota.Admitter.
//
// Each account has a coordinator, the instance that keeps its token bucket. The other instances report to it what they
// admitted, and let it decide when the bucket is low. While the coordinator can't be reached, each instance admits
// requests from its own share of the quota.
type quotas struct {
	instance *Instance
	table    atomic.Pointer[coordinatorTable]

	mu          sync.Mutex
	localQuotas map[string]*quota.LocalLimiter  // by account
	buckets     map[string]*quota.AccountBucket // of the accounts whose coordinator is this instance
	queues      map[membership.ID]*usageQueue
	takeover    quota.Takeover // of accounts to this coordinator
	fleet       fleetSize
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

func newQuotas(i *Instance) *quotas {
	return &quotas{
		instance:    i,
		fleet:       fleetSize{span: 2 * i.bounds().QuotaWindow},
		localQuotas: make(map[string]*quota.LocalLimiter),
		buckets:     make(map[string]*quota.AccountBucket),
		queues:      make(map[membership.ID]*usageQueue),
	}
}

// startTakeover lets this instance hand out, of the accounts that it coordinates, only the shares of the instances that
// call it, until all instances know that it has joined.
func (q *quotas) startTakeover() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.takeover.Start(time.Now())
}

// Admit implements quota.Admitter.
func (q *quotas) Admit(ctx context.Context, account *quota.Account) error {
	if account.Rate >= unlimitedRate {
		return nil
	}
	now := time.Now()
	id := q.coordinatorOf(account.Name)
	q.mu.Lock()
	uq := q.queue(id)
	local := q.localQuota(account.Name)
	action, after := local.Admit(now, now.After(uq.unreachableUntil), q.localShare(now, account), rand.Float64())
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
	switch action {
	case quota.Refuse:
		return q.rateExceeded(account, after)
	case quota.AskCoordinator:
		return q.awaitDecision(ctx, account, p)
	}
	return nil
}

func (q *quotas) rateExceeded(account *quota.Account, after time.Duration) error {
	return result.WithRetryAfter(
		result.New(result.RateExceeded, "the rate and burst of %s are used up", account.Name),
		max(after, minRetryAfter),
	)
}

// awaitDecision waits for the coordinator's decision. If none arrives, the instance's own share decides.
func (q *quotas) awaitDecision(ctx context.Context, account *quota.Account, p *pendingUsage) error {
	select {
	case d := <-p.decision:
		if d.err == nil && d.granted {
			return nil
		}
		if d.err == nil {
			return q.rateExceeded(account, d.retryAfter)
		}
	case <-ctx.Done():
		return result.New(result.DeadlinePassed, "the request's deadline passed before its quota was decided")
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if action, after := q.localQuota(account.Name).Admit(
		now, false, q.localShare(now, account), rand.Float64(),
	); action == quota.Refuse {
		return q.rateExceeded(account, after)
	}
	return nil
}

// window returns the bound on what an account may get in any window of time.
func (q *quotas) window() quota.WindowLimit {
	b := q.instance.bounds()
	return quota.WindowLimit{Length: b.QuotaWindow, Overage: b.QuotaOverage, Slack: b.QuotaSlack}
}

// localShare returns this instance's share of an account's quota while the coordinator can't be reached; the calling
// function holds the lock.
func (q *quotas) localShare(now time.Time, account *quota.Account) quota.FallbackShare {
	n := float64(q.fleet.largest(now, q.instanceCount()))
	return quota.FallbackShare{Rate: account.Rate / n, Burst: float64(account.Burst) / n}
}

// localQuota returns what this instance keeps of an account; the calling function holds the lock.
func (q *quotas) localQuota(account string) *quota.LocalLimiter {
	local := q.localQuotas[account]
	if local == nil {
		local = &quota.LocalLimiter{}
		q.localQuotas[account] = local
	}
	return local
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
		unreported := q.takeUnreported(batch)
		q.mu.Unlock()
		for account, n := range unreported {
			u := request.Accounts[account]
			u.Spent += n
			request.Accounts[account] = u
		}
		response, err := q.send(uq, request)
		if err != nil {
			q.restoreUnreported(unreported)
		}
		q.applyResponse(uq, batch, request, response, err)
	}
}

// newUsageRequest returns the request that reports a batch to its coordinator; the calling function holds the lock.
func (q *quotas) newUsageRequest(uq *usageQueue, batch []*pendingUsage) usageRequest {
	now := time.Now()
	request := usageRequest{Coordinator: uq.id, From: q.instance.id, Accounts: make(map[string]usage)}
	for _, p := range batch {
		u, ok := request.Accounts[p.account]
		if !ok {
			local := q.localQuota(p.account)
			if known, ok := local.LevelFromOtherCoordinator(now, string(uq.id)); ok {
				u.LastKnown = &known
			}
			request.Moved = request.Moved || local.CoordinatorChanged(now, string(uq.id))
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

// takeUnreported returns what the accounts of a batch spent while their coordinator could not be reached; the calling
// function holds the lock.
func (q *quotas) takeUnreported(batch []*pendingUsage) map[string]int {
	unreported := make(map[string]int)
	for _, p := range batch {
		if n := q.localQuota(p.account).TakeUnreported(); n > 0 {
			unreported[p.account] += n
		}
	}
	return unreported
}

// restoreUnreported adds back what takeUnreported returned after the call to the coordinator failed.
func (q *quotas) restoreUnreported(unreported map[string]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for account, n := range unreported {
		q.localQuota(account).RestoreUnreported(n)
	}
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

// pickRelay returns a random instance to relay a call to a coordinator, preferably one of the own failure domain. It
// returns the coordinator itself if there is no other instance.
func (q *quotas) pickRelay(coordinator membership.ID) membership.ID {
	var near, far []membership.ID
	for id, r := range q.instance.members.Directory().Records() {
		if id == coordinator || id == q.instance.id || r.Leaving {
			continue
		}
		far = append(far, id)
		if r.Domain == q.instance.options.Settings.Domain {
			near = append(near, id)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return coordinator
	}
	return near[rand.IntN(len(near))]
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
	ctx, cancel := context.WithTimeout(context.Background(), usageTimeout)
	defer cancel()
	err = q.instance.calls.Call(ctx, r.Control.String(), methodUsage, request, &response)
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
		uq.unreachableUntil = now.Add(coordinatorCooldown)
	}
	for name, u := range request.Accounts {
		state, known := response.Accounts[name]
		if err != nil || !known {
			q.localQuota(name).HandleFailure(u.Spent)
			continue
		}
		q.localQuota(name).HandleReply(now, string(uq.id), u.Spent, state)
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

// handleUsage handles the call of another instance. It counts the usage here if this instance is the coordinator, and
// otherwise relays the call unless it was relayed already.
func (q *quotas) handleUsage(_ context.Context, request usageRequest) (any, error) {
	if request.Relayed {
		return q.countUsage(request), nil
	}
	request.Coordinator = q.currentCoordinator(request)
	if request.Coordinator == q.instance.id {
		return q.countUsage(request), nil
	}
	request.Relayed = true
	return q.callInstance(request.Coordinator, request)
}

// countUsage counts usage as the coordinator of the accounts, and grants requests as far as the token buckets allow.
func (q *quotas) countUsage(request usageRequest) usageResponse {
	response := usageResponse{Accounts: make(map[string]quota.BucketState, len(request.Accounts))}
	view := q.instance.configuration.view()
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.takeover.RecordCall(now, string(request.From), request.Moved)
	share := q.grantableShare(now)
	for name, u := range request.Accounts {
		if view == nil {
			continue
		}
		account, ok := view.Accounts.Account(name)
		if !ok {
			continue
		}
		rate, burst := q.window().Allowed(account.Rate, float64(account.Burst))
		bucket := q.buckets[name]
		if bucket == nil {
			bucket = &quota.AccountBucket{}
			q.buckets[name] = bucket
		}
		bucket.SetLimits(now, rate*share, burst)
		if u.LastKnown != nil {
			bucket.ApplyReport(now, *u.LastKnown)
		}
		response.Accounts[name] = bucket.Spend(now, u.Spent, u.Requested)
	}
	return response
}

// cleanupInterval is how often the state of removed accounts and instances is dropped.
const cleanupInterval = time.Minute

// run drops the state of accounts that are no longer configured and of instances that left, until ctx ends.
func (q *quotas) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, cleanupInterval)
		view := q.instance.configuration.view()
		if view == nil {
			continue
		}
		q.mu.Lock()
		for name := range q.localQuotas {
			if _, ok := view.Accounts.Account(name); !ok {
				delete(q.localQuotas, name)
				delete(q.buckets, name)
			}
		}
		for id, uq := range q.queues {
			if _, ok := q.instance.members.Directory().Record(id); !ok && !uq.sending {
				delete(q.queues, id)
			}
		}
		q.mu.Unlock()
	}
}
