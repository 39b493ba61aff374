package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/event"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/quota"
	"amaranthstile/result"
)

// methodUsage reports usage to a coordinator and requests more of the quota.
const methodUsage link.Method = "account.usage"

const (
	// transferTimeout bounds one call that hands accounts over.
	transferTimeout = 150 * time.Millisecond
	// pauseCheckInterval is how often an instance notes that it runs, and minPause how long it must not have done so to
	// have been paused: calls to it then failed.
	pauseCheckInterval = 100 * time.Millisecond
	minPause           = quota.ReportCallTimeout
	// coordinatorRetryInterval is how long each instance admits requests from its own share after a failed call.
	coordinatorRetryInterval = 500 * time.Millisecond
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

// quotas keeps each client account within its rate and burst over the whole fleet. It implements quota.Admitter.
//
// Each account has a coordinator, the instance that keeps its token bucket. The other instances report to it what they
// admitted of what it has reserved for them, and let it decide on the rest. While the coordinator can't be reached, each instance admits
// requests from its own share of the quota.
type quotas struct {
	instance *Instance
	table    atomic.Pointer[coordinatorTable]

	mu          sync.Mutex
	localQuotas map[string]*quota.LocalLimiter  // by account
	buckets     map[string]*quota.AccountBucket // of the accounts whose coordinator is this instance
	queues      map[membership.ID]*usageQueue
	takeover    quota.Takeover        // of accounts to this coordinator
	transfers   map[int]shardTransfer // by shard, from previous coordinators
	gained      map[int]struct{}      // shards that no previous coordinator has handed over
	sequence    uint64                // number of the latest report of this instance
	streams     uint64                // number of queues since the start
	reports     quota.ReportLog       // of the instances that call this one
	counters    quotaCounters
	fleet       fleetSize
	startedAt   time.Time
	ranAt       time.Time // when this instance noted last that it runs
	// isFirstStart is set once it is known that no instance of this name ran before, and joinedFleet if this instance
	// joined a fleet that ran already.
	isFirstStart, joinedFleet bool
	// viewChanged has an element after the view of the fleet has changed.
	viewChanged chan struct{}
}

func newQuotas(i *Instance) *quotas {
	return &quotas{
		instance:    i,
		fleet:       fleetSize{span: 2 * i.bounds().QuotaWindow},
		startedAt:   time.Now(),
		transfers:   make(map[int]shardTransfer),
		gained:      make(map[int]struct{}),
		viewChanged: make(chan struct{}, 1),
		localQuotas: make(map[string]*quota.LocalLimiter),
		buckets:     make(map[string]*quota.AccountBucket),
		queues:      make(map[membership.ID]*usageQueue),
		counters:    newQuotaCounters(),
	}
}

// startTakeover lets this instance hand out, of the accounts that it coordinates, only the shares of the instances that
// call it, until all instances know that it has joined.
func (q *quotas) startTakeover() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.joinedFleet = true
	q.takeover.Start(time.Now())
}

// setFirstStart records that no instance of this name ran before.
func (q *quotas) setFirstStart() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.isFirstStart = true
}

// onViewChange makes run refresh the table of coordinators. It does not block.
func (q *quotas) onViewChange() {
	select {
	case q.viewChanged <- struct{}{}:
	default:
	}
}

// window returns the bound on what an account may get in any window of time.
func (q *quotas) window() quota.WindowLimit {
	b := q.instance.bounds()
	return quota.WindowLimit{Length: b.QuotaWindow, Overage: b.QuotaOverage, Slack: b.QuotaSlack}
}

// localShare returns this instance's share of an account's quota while the coordinator can't be reached; the calling
// function holds the lock.
func (q *quotas) localShare(now time.Time, account *quota.Account) quota.FallbackShare {
	n := q.fleet.largest(now, q.instanceCount())
	index := 0
	if t := q.table.Load(); t != nil {
		index = t.index
	}
	return q.window().FallbackShare(account.Rate, float64(account.Burst), index, n)
}

// localShareOf returns this instance's share of an account by its name, as localShare does.
func (q *quotas) localShareOf(now time.Time, account string) quota.FallbackShare {
	if view := q.instance.configuration.view(); view != nil {
		if a, ok := view.Accounts.Account(account); ok {
			return q.localShare(now, a)
		}
	}
	return quota.FallbackShare{}
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

// handleUsage handles the call of another instance. It counts the usage here if this instance is the coordinator, and
// otherwise relays the call unless it was relayed already.
func (q *quotas) handleUsage(_ context.Context, request usageRequest) (any, error) {
	if request.Relayed {
		if request.Coordinator == q.instance.id && q.currentCoordinator(request) != q.instance.id {
			// the relay has an older view, and the reports of other instances are counted elsewhere
			return usageResponse{Failed: result.NotReady}, nil
		}
		return q.countUsage(request), nil
	}
	request.Coordinator = q.currentCoordinator(request)
	if request.Coordinator == q.instance.id {
		return q.countUsage(request), nil
	}
	if r, ok := q.instance.members.Directory().Record(request.Coordinator); ok &&
		request.Sequence.Stream() != 0 && r.Protocols[1] < link.ProtocolRepeatedReports {
		return usageResponse{Failed: result.LinkVersion}, nil // it would count each attempt
	}
	request.Relayed = true
	response, err := q.callInstance(request.Coordinator, request, relayedUsageTimeout)
	if err != nil {
		return usageResponse{Failed: result.CodeOf(err)}, nil
	}
	return response, nil
}

// countUsage counts usage as the coordinator of the accounts, and grants requests as far as the token buckets allow.
func (q *quotas) countUsage(request usageRequest) usageResponse {
	view := q.instance.configuration.view()
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.detectPause(now)
	if q.takeover.RecordCall(now, string(request.From), request.Moved) {
		for _, b := range q.buckets {
			b.ForgetPast(now)
		}
	}
	report := quota.Report{
		Instance: string(request.From), Sequence: request.Sequence, Acknowledged: request.Acknowledged, Late: request.Late,
		Accounts: make(map[string]quota.Usage, len(request.Accounts)),
	}
	for name, u := range request.Accounts {
		report.Accounts[name] = quota.Usage{Spent: u.Spent, Requested: u.Requested, Held: u.Held}
	}
	share := q.grantableShare(now)
	states := q.reports.Count(now, report, func(name string, u quota.Usage) (quota.BucketState, bool) {
		if view == nil {
			return quota.BucketState{}, false
		}
		account, ok := view.Accounts.Account(name)
		if !ok {
			return quota.BucketState{}, false
		}
		return q.spend(now, account, share, u), true
	})
	return usageResponse{Coordinator: q.instance.id, Accounts: states}
}

// spend counts the usage of one account by an instance; share is the share of the rate that may be granted. The calling
// function holds the lock.
func (q *quotas) spend(now time.Time, account *quota.Account, share float64, u quota.Usage) quota.BucketState {
	rate, burst := q.window().Allowed(account.Rate, float64(account.Burst))
	bucket := q.buckets[account.Name]
	if bucket == nil {
		bucket = q.newBucket(now, account.Name)
		q.buckets[account.Name] = bucket
	}
	bucket.SetLimits(now, rate*share, burst)
	if since, takesOver := q.takeover.Since(now); takesOver {
		bucket.ReleaseShare(now, u.Instance, since, rate/float64(q.instanceCount()))
	}
	return bucket.Spend(now, u)
}

// cleanupInterval is how often the state of removed accounts and instances is dropped.
const cleanupInterval = time.Minute

// run follows changes of the view and drops the state of accounts that are no longer configured and of instances that
// left, until ctx ends.
func (q *quotas) run(ctx context.Context) {
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	pauseCheck := time.NewTicker(pauseCheckInterval)
	defer pauseCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pauseCheck.C:
			q.mu.Lock()
			q.detectPause(time.Now())
			q.mu.Unlock()
		case <-q.viewChanged:
			q.currentTable()
		case <-ticker.C:
			q.cleanUp()
		}
	}
}

// detectPause notes that this instance runs. If it was paused, other instances could not reach it and spent their own shares
// of the accounts that it coordinates. The calling function holds the lock.
func (q *quotas) detectPause(now time.Time) {
	if paused := now.Sub(q.ranAt); !q.ranAt.IsZero() && paused >= minPause {
		q.instance.options.Events.Log(event.InstancePaused,
			event.F("paused_ms", paused.Milliseconds()), event.F("accounts", len(q.buckets)))
		for _, b := range q.buckets {
			b.Withhold(now, q.ranAt, now.Add(coordinatorRetryInterval))
		}
	}
	q.ranAt = now
}

// cleanUp drops the state of accounts that are no longer configured and of instances that left.
func (q *quotas) cleanUp() {
	view := q.instance.configuration.view()
	if view == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
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
}
