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
	// maxRecentEntries and keptBytes bound the accepted entries that an instance can pass on.
	maxRecentEntries = 1024
	maxRecentBytes   = 4 << 20
	// maxReplyEntries and answerBytes bound one answer; it holds at least one entry.
	maxReplyEntries = 64
	maxReplyBytes   = 512 << 10
	// entriesTimeout bounds one call for entries.
	entriesTimeout = 2 * time.Second
	// watcherCheckInterval is how often an instance looks whether it has become a watcher.
	watcherCheckInterval = 250 * time.Millisecond
	// The pauses between failed calls to the platform grow from the first to the last, with jitter.
	firstBackoff = 200 * time.Millisecond
	maxBackoff  = 5 * time.Second
	// maxLoadPeers is how many peers a starting instance asks in one round.
	maxLoadPeers = 3
)

// methodEntries asks for accepted entries after a revision.
const methodEntries link.Method = "ticket.entries"

// entriesRequest asks for what was accepted after a revision.
type entriesRequest struct {
	After ticket.Revision `json:"after"`
}

// entriesReply holds consecutive entries, the oldest first.
type entriesReply struct {
	// Revision is the last one in force at the instance that answers.
	Revision ticket.Revision `json:"revision"`
	Entries  []ticket.Entry  `json:"entries,omitempty"`
	// Gone says that the entry after the asked revision is not held any more: a whole state is needed.
	Gone bool `json:"gone,omitempty"`
}

// book is the state that entries are applied to, and that can be copied and replaced as a whole.
type book interface {
	Revision() ticket.Revision
	Apply(e ticket.Entry) bool
	Copy() *ticket.Book
	Restore(b *ticket.Book) bool
}

// replicator passes accepted entries on from instance to instance. The membership traffic tells who has a later
// revision; the entries are fetched once, in order, by a call to such an instance.
type replicator struct {
	book    book
	members *gossip.Members
	client  *link.ControlClient
	event   *event.Logger
	domain  string
	self    membership.ID
	behind  chan membership.Behind
	loaded  atomic.Bool // what is held is whole and may be passed on
	// transfer brings and gives whole states.
	transfer *stateTransfer

	mu       sync.Mutex
	revision ticket.Revision // in force, in step with kept
	recent     []ticket.Entry  // consecutive, the oldest first
	recentSizes    []int
	recentBytes    int
	stats    ReplicationStats
}

// ReplicationStats counts what the spread of tickets between instances did.
type ReplicationStats struct {
	Fetches       uint64 `json:"fetches"`
	FetchesFailed uint64 `json:"fetchesFailed"`
	Entries       uint64 `json:"entries"`
	Served        uint64 `json:"served"`
}

func newReplicator(b book, m *gossip.Members, client *link.ControlClient, e *event.Logger, self membership.Record) *replicator {
	s := &replicator{
		book: b, members: m, client: client, event: e, domain: self.Domain, self: self.ID,
		behind: make(chan membership.Behind, 1),
	}
	s.transfer = newStateTransfer(b, client, s.loaded.Load)
	m.OnBehind = s.onBehind
	return s
}

// onBehind keeps the latest news of a later revision for run.
func (s *replicator) onBehind(b membership.Behind) {
	select {
	case s.behind <- b:
	default:
	}
}

// run fetches what is missing until ctx ends.
func (s *replicator) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-s.behind:
			if s.loaded.Load() && uint64(s.book.Revision()) < b.Revision {
				s.fetch(ctx, b.Address)
			}
		}
	}
}

// onApplied keeps an entry that came in force here, from whatever source, and tells the others. It runs in the
// owner of the book and returns at once.
func (s *replicator) onApplied(e ticket.Entry) {
	data, err := json.Marshal(e)
	if err != nil {
		return
	}
	s.mu.Lock()
	if n := len(s.recent); n > 0 && s.recent[n-1].Revision+1 != e.Revision {
		s.recent, s.recentSizes, s.recentBytes = nil, nil, 0
	}
	s.recent = append(s.recent, e)
	s.recentSizes = append(s.recentSizes, len(data))
	s.recentBytes += len(data)
	for len(s.recent) > maxRecentEntries || (s.recentBytes > maxRecentBytes && len(s.recent) > 1) {
		s.recentBytes -= s.recentSizes[0]
		s.recent, s.recentSizes = s.recent[1:], s.recentSizes[1:]
	}
	s.mu.Unlock()
	s.announceRevision()
}

// announceRevision announces the own revision once the state is whole. It runs in the owner of the book.
func (s *replicator) announceRevision() {
	revision := s.book.Revision()
	s.mu.Lock()
	s.revision = revision
	s.mu.Unlock()
	if s.loaded.Load() {
		s.members.SetRevision(uint64(revision))
	}
}

// handleEntries answers the call of an instance that is behind.
func (s *replicator) handleEntries(_ context.Context, call entriesRequest) (any, error) {
	if !s.loaded.Load() {
		return nil, result.New(result.NotReady, "this instance has not loaded its configuration")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := entriesReply{Revision: s.revision}
	if call.After >= out.Revision {
		return out, nil
	}
	first := slices.IndexFunc(s.recent, func(e ticket.Entry) bool { return e.Revision == call.After+1 })
	if first < 0 {
		out.Gone = true
		return out, nil
	}
	bytes := 0
	for n := first; n < len(s.recent) && len(out.Entries) < maxReplyEntries; n++ {
		if bytes += s.recentSizes[n]; bytes > maxReplyBytes && n > first {
			break
		}
		out.Entries = append(out.Entries, s.recent[n])
	}
	s.stats.Served += uint64(len(out.Entries))
	return out, nil
}

// fetch brings the book to the revision of another instance. It reports whether it got there.
func (s *replicator) fetch(ctx context.Context, addr netip.AddrPort) bool {
	for ctx.Err() == nil {
		a, err := s.requestEntries(ctx, addr)
		s.countFetch(len(a.Entries), err)
		if err != nil {
			return false
		}
		if s.book.Revision() >= a.Revision {
			return true
		}
		if a.Gone {
			if err := s.transfer.fetch(ctx, addr); err != nil {
				s.event.Log(event.StateRefused, event.F("from", addr.String()), event.F("code", int(result.CodeOf(err))))
				return false
			}
			continue
		}
		if !s.applyAll(a.Entries) {
			return false
		}
	}
	return false
}

func (s *replicator) countFetch(entries int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Fetches++
	s.stats.Entries += uint64(entries)
	if err != nil {
		s.stats.FetchesFailed++
	}
}

// Stats returns a snapshot of the counters.
func (s *replicator) Stats() ReplicationStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *replicator) requestEntries(ctx context.Context, addr netip.AddrPort) (a entriesReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	err = s.client.Call(ctx, addr.String(), methodEntries, entriesRequest{After: s.book.Revision()}, &a)
	return a, err
}

// applyAll puts entries in force that follow on the book; it stops at the first that is out of order or invalid.
func (s *replicator) applyAll(entries []ticket.Entry) bool {
	for _, e := range entries {
		if (e.Ticket == nil) == (e.Roster == nil) {
			return false
		}
		if e.Ticket != nil && e.Ticket.Validate() != nil {
			return false
		}
		if !s.book.Apply(e) {
			return false
		}
	}
	return len(entries) > 0
}

// loadFromPeers brings a starting instance to the revision of its peers while the platform is away. It asks a few and
// needs one whose state is whole.
func (s *replicator) loadFromPeers(ctx context.Context) bool {
	records := s.members.All()
	mathrand.Shuffle(len(records), func(a, b int) { records[a], records[b] = records[b], records[a] })
	asked := 0
	for _, r := range records {
		if r.ID == s.self || asked == maxLoadPeers || ctx.Err() != nil {
			continue
		}
		asked++
		if s.fetch(ctx, r.Control) {
			s.event.Log(event.StateLoaded, event.F("from", string(r.ID)), event.F("revision", uint64(s.book.Revision())))
			return true
		}
	}
	return false
}

// setLoaded says that the state is whole.
func (s *replicator) setLoaded() {
	if !s.loaded.Swap(true) {
		s.members.SetRevision(uint64(s.book.Revision()))
	}
}

// isWatcher reports whether this instance is one of its failure domain's watchers.
func (s *replicator) isWatcher() bool {
	return slices.Contains(s.members.Directory().Chosen(s.domain, "watch", watchersPerDomain), s.self)
}

// waitUntilWatcher returns once this instance is to watch the platform, or ctx ends.
func (s *replicator) waitUntilWatcher(ctx context.Context) {
	for ctx.Err() == nil && !s.isWatcher() {
		wait.Sleep(ctx, watcherCheckInterval)
	}
}
