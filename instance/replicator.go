package instance

import (
	"context"
	"encoding/json"
	mathrand "math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthstile/event"
	"amaranthstile/gossip"
	"amaranthstile/internal/wait"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
	"amaranthstile/ticket"
)

const (
	// watchersPerDomain is how many instances of a failure domain wait at the platform for new entries.
	watchersPerDomain = 2
	// maxRecentEntries and maxRecentBytes bound the accepted entries that an instance keeps to send to others.
	maxRecentEntries = 1024
	maxRecentBytes   = 4 << 20
	// maxReplyEntries and maxReplyBytes bound one reply, which holds at least one entry.
	maxReplyEntries = 64
	maxReplyBytes   = 512 << 10
	// entriesTimeout bounds one call for entries.
	entriesTimeout = 2 * time.Second
	// watcherCheckInterval is how often an instance checks whether it has become a watcher.
	watcherCheckInterval = 250 * time.Millisecond
	// The backoff between failed calls to the platform grows from firstBackoff to maxBackoff, with jitter.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// maxLoadPeers bounds how many peers a starting instance asks in one round.
	maxLoadPeers = 3
)

// methodEntries asks for the accepted entries after a revision.
const methodEntries link.Method = "ticket.entries"

// entriesRequest asks for the entries after a revision.
type entriesRequest struct {
	After ticket.Revision `json:"after"`
}

// entriesReply holds consecutive entries in ascending order.
type entriesReply struct {
	// Revision is the last revision in force at the instance that replies.
	Revision ticket.Revision `json:"revision"`
	Entries  []ticket.Entry  `json:"entries,omitempty"`
	// Gone reports that the entry after the requested revision is no longer kept, so that the receiver needs the whole
	// state.
	Gone bool `json:"gone,omitempty"`
}

// configState is the configuration state that entries are applied to. It can be copied and replaced as a whole.
type configState interface {
	Revision() ticket.Revision
	Apply(e ticket.Entry) bool
	Copy() *ticket.ConfigState
	Restore(s *ticket.ConfigState) bool
}

// replicator sends accepted entries from instance to instance. The membership messages carry the revision of each
// instance. An instance that is behind fetches the missing entries once, in order, by calling an instance with a
// later revision.
type replicator struct {
	state   configState
	members *gossip.Members
	client  *link.ControlClient
	event   *event.Logger
	domain  string
	self    membership.ID
	behind  chan membership.NewerRevision
	loaded  atomic.Bool // whether the state is complete, so that it may be sent to others
	// transfer sends and receives whole states.
	transfer *stateTransfer

	mu          sync.Mutex
	revision    ticket.Revision // the revision in force, updated together with recent
	recent      []ticket.Entry  // consecutive entries in ascending order
	recentSizes []int
	recentBytes int
	stats       ReplicationStats
}

// ReplicationStats counts what the replication of tickets between instances did.
type ReplicationStats struct {
	Fetches       uint64 `json:"fetches"`
	FetchesFailed uint64 `json:"fetchesFailed"`
	Entries       uint64 `json:"entries"`
	Served        uint64 `json:"served"`
}

func newReplicator(s configState, m *gossip.Members, client *link.ControlClient, e *event.Logger, self membership.Record) *replicator {
	r := &replicator{
		state: s, members: m, client: client, event: e, domain: self.Domain, self: self.ID,
		behind: make(chan membership.NewerRevision, 1),
	}
	r.transfer = newStateTransfer(s, client, r.loaded.Load)
	m.OnNewerRevision = r.onBehind
	return r
}

// onBehind queues a report that another instance has a later revision, unless one is queued already.
func (r *replicator) onBehind(b membership.NewerRevision) {
	select {
	case r.behind <- b:
	default:
	}
}

// run fetches missing entries until ctx ends.
func (r *replicator) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-r.behind:
			if r.loaded.Load() && uint64(r.state.Revision()) < b.Revision {
				r.fetch(ctx, b.Address)
			}
		}
	}
}

// onApplied keeps an entry that came into force here, whatever its source, and announces the new revision. It runs in
// the owner of the configuration state and does not block.
func (r *replicator) onApplied(e ticket.Entry) {
	data, err := json.Marshal(e)
	if err != nil {
		return
	}
	r.mu.Lock()
	if n := len(r.recent); n > 0 && r.recent[n-1].Revision+1 != e.Revision {
		r.recent, r.recentSizes, r.recentBytes = nil, nil, 0
	}
	r.recent = append(r.recent, e)
	r.recentSizes = append(r.recentSizes, len(data))
	r.recentBytes += len(data)
	for len(r.recent) > maxRecentEntries || (r.recentBytes > maxRecentBytes && len(r.recent) > 1) {
		r.recentBytes -= r.recentSizes[0]
		r.recent, r.recentSizes = r.recent[1:], r.recentSizes[1:]
	}
	r.mu.Unlock()
	r.announceRevision()
}

// announceRevision publishes the revision of this instance to the membership once the state is complete. It runs in
// the owner of the configuration state.
func (r *replicator) announceRevision() {
	revision := r.state.Revision()
	r.mu.Lock()
	r.revision = revision
	r.mu.Unlock()
	if r.loaded.Load() {
		r.members.SetRevision(uint64(revision))
	}
}

// handleEntries handles the call of an instance that is behind.
func (r *replicator) handleEntries(_ context.Context, request entriesRequest) (any, error) {
	if !r.loaded.Load() {
		return nil, result.New(result.NotReady, "this instance has not loaded its configuration")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out := entriesReply{Revision: r.revision}
	if request.After >= out.Revision {
		return out, nil
	}
	first := slices.IndexFunc(r.recent, func(e ticket.Entry) bool { return e.Revision == request.After+1 })
	if first < 0 {
		out.Gone = true
		return out, nil
	}
	bytes := 0
	for n := first; n < len(r.recent) && len(out.Entries) < maxReplyEntries; n++ {
		if bytes += r.recentSizes[n]; bytes > maxReplyBytes && n > first {
			break
		}
		out.Entries = append(out.Entries, r.recent[n])
	}
	r.stats.Served += uint64(len(out.Entries))
	return out, nil
}

// fetch brings the configuration state to the revision of another instance. It reports whether it succeeded.
func (r *replicator) fetch(ctx context.Context, addr netip.AddrPort) bool {
	for ctx.Err() == nil {
		reply, err := r.requestEntries(ctx, addr)
		r.countFetch(len(reply.Entries), err)
		if err != nil {
			return false
		}
		if r.state.Revision() >= reply.Revision {
			return true
		}
		if reply.Gone {
			if err := r.transfer.fetch(ctx, addr); err != nil {
				r.event.Log(event.StateRefused, event.F("from", addr.String()), event.F("code", int(result.CodeOf(err))))
				return false
			}
			continue
		}
		if !r.applyAll(reply.Entries) {
			return false
		}
	}
	return false
}

func (r *replicator) countFetch(entries int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Fetches++
	r.stats.Entries += uint64(entries)
	if err != nil {
		r.stats.FetchesFailed++
	}
}

// Stats returns a snapshot of the counters.
func (r *replicator) Stats() ReplicationStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

func (r *replicator) requestEntries(ctx context.Context, addr netip.AddrPort) (reply entriesReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	err = r.client.Call(ctx, addr.String(), methodEntries, entriesRequest{After: r.state.Revision()}, &reply)
	return reply, err
}

// applyAll applies entries that follow on the configuration state. It stops at the first one that is out of order or
// invalid, and reports whether it applied all of them; it returns false if there are none.
func (r *replicator) applyAll(entries []ticket.Entry) bool {
	for _, e := range entries {
		if (e.Ticket == nil) == (e.Roster == nil) {
			return false
		}
		if e.Ticket != nil && e.Ticket.Validate() != nil {
			return false
		}
		if !r.state.Apply(e) {
			return false
		}
	}
	return len(entries) > 0
}

// loadFromPeers brings a starting instance to the revision of a peer while the platform is unavailable. It asks up to
// maxLoadPeers peers until one of them has a complete state.
func (r *replicator) loadFromPeers(ctx context.Context) bool {
	records := r.members.All()
	mathrand.Shuffle(len(records), func(a, b int) { records[a], records[b] = records[b], records[a] })
	asked := 0
	for _, record := range records {
		if record.ID == r.self || asked == maxLoadPeers || ctx.Err() != nil {
			continue
		}
		asked++
		if r.fetch(ctx, record.Control) {
			r.event.Log(event.StateLoaded, event.F("from", string(record.ID)), event.F("revision", uint64(r.state.Revision())))
			return true
		}
	}
	return false
}

// setLoaded marks the state as complete.
func (r *replicator) setLoaded() {
	if !r.loaded.Swap(true) {
		r.members.SetRevision(uint64(r.state.Revision()))
	}
}

// isWatcher reports whether this instance is one of the watchers of its failure domain.
func (r *replicator) isWatcher() bool {
	return slices.Contains(r.members.Directory().SelectInstances(r.domain, "watch", watchersPerDomain), r.self)
}

// waitUntilWatcher returns once this instance has to watch the platform, or ctx ends.
func (r *replicator) waitUntilWatcher(ctx context.Context) {
	for ctx.Err() == nil && !r.isWatcher() {
		wait.Sleep(ctx, watcherCheckInterval)
	}
}
