package sidecar

import (
	"context"
	"time"

	"amaranthstile/event"
	"amaranthstile/internal/wait"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/quota"
	"amaranthstile/result"
)

// methodTransfer hands accounts over to their next coordinator.
const methodTransfer link.Method = "account.transfer"

const (
	// maxTransferTries is how often an instance tries to hand accounts over to their next coordinator.
	maxTransferTries = 3
	// maxShards bounds the shards that another instance may name: many times those of a fleet of the largest size.
	maxShards = 4096
	// transferRetryDelay is the time between two tries.
	transferRetryDelay = 50 * time.Millisecond
	// maxTransferLead is how long the next coordinator may take to learn that it is one, after the accounts were handed over
	// to it.
	maxTransferLead = 5 * time.Second
)

// transferRequest hands accounts over to their next coordinator.
type transferRequest struct {
	// Accounts are those that the previous coordinator has counted for.
	Accounts map[string]quota.Transfer `json:"accounts"`
	// Shards is how many shards there are, and Owned how long the previous coordinator has coordinated each of those that it
	// hands over, in milliseconds; -1 if no other instance has counted for their accounts. It has counted for all others
	// of their accounts that it does not name, too: these have spent nothing in that time.
	Shards int           `json:"shards"`
	Owned  map[int]int64 `json:"owned"`
}

// validate returns an error that carries MessageInvalid if the request names shards that can't exist.
func (r *transferRequest) validate() error {
	for shard := range r.Owned {
		if shard < 0 || shard >= r.Shards || r.Shards > maxShards {
			return result.New(result.MessageInvalid, "shard %d of %d can't be handed over", shard, r.Shards)
		}
	}
	return nil
}

type transferResponse struct{}

// shardTransfer is what a previous coordinator said of a shard that it handed over.
type shardTransfer struct {
	shards     int
	receivedAt time.Time
	since      time.Time // see coordinatorTable.since
}

// refreshTable replaces the table of coordinators after a change of the view. It hands the accounts whose coordinator is
// no longer this instance over to their next one.
func (q *quotas) refreshTable() *coordinatorTable {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := q.instance.members.Directory()
	before := q.table.Load()
	if before != nil && before.directory == d {
		return before
	}
	now := time.Now()
	t := newCoordinatorTable(d)
	t.index = indexOf(q.instance.id, d)
	t.relays = rankRelays(q.instance.id, q.instance.options.Settings.Domain, d)
	q.gainShards(now, before, t)
	q.table.Store(t)
	if before != nil {
		for id, request := range q.takeTransfers(now, before, t) {
			go q.transfer(id, request)
		}
	}
	return t
}

// gainShards sets since when this instance coordinates its shards. The calling function holds the lock.
func (q *quotas) gainShards(now time.Time, before, t *coordinatorTable) {
	self, shards := q.instance.id, len(t.coordinators)
	gained := false
	for shard, id := range t.coordinators {
		if id != self {
			delete(q.gained, shard)
			continue
		}
		if before.owned(self, shard, shards) {
			t.since[shard], t.gainedAt[shard] = before.since[shard], before.gainedAt[shard]
			continue
		}
		t.gainedAt[shard] = now
		if x, ok := q.transfers[shard]; ok && x.shards == shards && now.Sub(x.receivedAt) < maxTransferLead {
			t.since[shard] = x.since
			delete(q.transfers, shard) // the next coordinator after this one hands over again
			continue
		}
		t.since[shard] = now
		q.gained[shard] = struct{}{}
		gained = true
	}
	if !gained || now.Sub(q.startedAt) < fleetStartSpread {
		return // while the fleet starts, no instance has a share of its own yet
	}
	q.takeover.Start(now)
	for name, b := range q.buckets {
		if shard := t.shardOf(name); t.coordinators[shard] == self && t.since[shard].Equal(now) {
			b.ForgetPast(now)
		}
	}
}

// takeTransfers removes the accounts that this instance no longer coordinates, and returns what to hand over to whom. The
// calling function holds the lock.
func (q *quotas) takeTransfers(now time.Time, before, t *coordinatorTable) map[membership.ID]*transferRequest {
	out := make(map[membership.ID]*transferRequest)
	to := func(id membership.ID) *transferRequest {
		if out[id] == nil {
			out[id] = &transferRequest{Accounts: make(map[string]quota.Transfer), Shards: len(t.coordinators), Owned: make(map[int]int64)}
		}
		return out[id]
	}
	self := q.instance.id
	for shard, id := range t.coordinators {
		if id == self || id == "" || !before.owned(self, shard, len(t.coordinators)) {
			continue
		}
		age := int64(-1)
		if since := before.since[shard]; !q.isSpentNowhereElse(since) {
			age = now.Sub(since).Milliseconds()
		}
		to(id).Owned[shard] = age
	}
	for name, b := range q.buckets {
		id := t.coordinatorOf(name)
		if id == self || id == "" {
			continue
		}
		if before.coordinatorOf(name) == self {
			to(id).Accounts[name] = b.Transfer(now)
		}
		delete(q.buckets, name)
	}
	return out
}

// isSpentNowhereElse reports whether an account of which this instance has been the coordinator since a time has spent
// nothing at another one: also if that was before the fleet served its first requests.
func (q *quotas) isSpentNowhereElse(since time.Time) bool {
	return since.IsZero() || q.isFirstStart && !q.joinedFleet && since.Sub(q.startedAt) < fleetStartSpread
}

// newBucket returns the bucket of an account that this instance has not counted for yet. The calling function holds the
// lock.
func (q *quotas) newBucket(now time.Time, account string) *quota.AccountBucket {
	t := q.table.Load()
	if t == nil {
		return quota.NewAccountBucket(now)
	}
	shard := t.shardOf(account)
	if t.coordinators[shard] != q.instance.id {
		return quota.NewAccountBucket(now)
	}
	if q.isSpentNowhereElse(t.since[shard]) {
		return &quota.AccountBucket{}
	}
	return quota.NewAccountBucket(t.since[shard])
}

// transfer hands accounts over to their next coordinator. If it can't be reached, that one takes them as spent.
func (q *quotas) transfer(id membership.ID, request *transferRequest) {
	var err error
	for range maxTransferTries {
		if err = q.callTransfer(id, request); err == nil {
			break
		}
		wait.Sleep(context.Background(), transferRetryDelay)
	}
	q.instance.options.Events.Log(event.AccountsTransferred,
		event.F("home", string(id)), event.F("accounts", len(request.Accounts)), event.F("shards", len(request.Owned)),
		event.F("code", int(result.CodeOf(err))))
}

func (q *quotas) callTransfer(id membership.ID, request *transferRequest) error {
	r, ok := q.instance.members.Directory().Record(id)
	if !ok {
		return result.New(result.PeerUnknown, "the instance %s is not in the membership", id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	return q.instance.calls.Call(ctx, r.Control.String(), methodTransfer, request, &transferResponse{})
}

// handleTransfer takes accounts over from their previous coordinator.
func (q *quotas) handleTransfer(_ context.Context, request transferRequest) (any, error) {
	if err := request.validate(); err != nil {
		return nil, err
	}
	now := time.Now()
	t := q.currentTable()
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, x := range request.Accounts {
		if !q.countsFor(now, t, t.shardOf(name), len(t.coordinators)) {
			q.takeOver(now, name, x)
		}
	}
	for shard, age := range request.Owned {
		if q.countsFor(now, t, shard, request.Shards) {
			continue
		}
		since := time.Time{}
		if age >= 0 {
			since = now.Add(-time.Duration(age) * time.Millisecond)
		}
		if t.owned(q.instance.id, shard, request.Shards) {
			t.since[shard] = since
			delete(q.gained, shard)
			continue
		}
		q.transfers[shard] = shardTransfer{shards: request.Shards, receivedAt: now, since: since}
	}
	if len(request.Owned) > 0 && len(q.gained) == 0 {
		q.takeover.End(now)
	}
	return transferResponse{}, nil
}

// countsFor reports whether this instance has coordinated a shard for so long that what another one says of its accounts
// does not replace what it knows: that one was cut off and coordinated them for itself.
func (q *quotas) countsFor(now time.Time, t *coordinatorTable, shard, shards int) bool {
	return t.owned(q.instance.id, shard, shards) && now.Sub(t.gainedAt[shard]) >= maxTransferLead
}

// takeOver takes one account over. The calling function holds the lock.
func (q *quotas) takeOver(now time.Time, name string, x quota.Transfer) {
	view := q.instance.configuration.view()
	if view == nil {
		return
	}
	account, ok := view.Accounts.Account(name)
	if !ok {
		return
	}
	bucket := q.buckets[name]
	if bucket == nil {
		bucket = quota.NewAccountBucket(now)
		q.buckets[name] = bucket
	}
	rate, burst := q.window().Allowed(account.Rate, float64(account.Burst))
	bucket.SetLimits(now, rate, burst)
	bucket.TakeOver(now, x)
}
