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
	// keptEntries and keptBytes bound the accepted entries that an instance can pass on.
	keptEntries = 1024
	keptBytes   = 4 << 20
	// answerEntries and answerBytes bound one answer; it holds at least one entry.
	answerEntries = 64
	answerBytes   = 512 << 10
	// entriesTimeout bounds one call for entries.
	entriesTimeout = 2 * time.Second
	// dutyPause is how often an instance looks whether it has become a watcher.
	dutyPause = 250 * time.Millisecond
	// The pauses between failed calls to the platform grow from the first to the last, with jitter.
	firstPause = 200 * time.Millisecond
	lastPause  = 5 * time.Second
	// loadPeers is how many peers a starting instance asks in one round.
	loadPeers = 3
)

// methodEntries asks for accepted entries after a revision.
const methodEntries link.Method = "ticket.entries"

// entriesCall asks for what was accepted after a revision.
type entriesCall struct {
	After ticket.Revision `json:"after"`
}

// entriesAnswer holds consecutive entries, the oldest first.
type entriesAnswer struct {
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

// spread passes accepted entries on from instance to instance. The membership traffic tells who has a later
// revision; the entries are fetched once, in order, by a call to such an instance.
type spread struct {
	book    book
	members *gossip.Members
	client  *link.ControlClient
	event   *event.Logger
	domain  string
	self    membership.ID
	behind  chan membership.Behind
	loaded  atomic.Bool // what is held is whole and may be passed on
	// transfer brings and gives whole states.
	transfer *transfer

	mu       sync.Mutex
	revision ticket.Revision // in force, in step with kept
	kept     []ticket.Entry  // consecutive, the oldest first
	sizes    []int
	bytes    int
	stats    ReplicationStats
}

// ReplicationStats counts what the spread of tickets between instances did.
type ReplicationStats struct {
	Fetches       uint64 `json:"fetches"`
	FetchesFailed uint64 `json:"fetchesFailed"`
	Entries       uint64 `json:"entries"`
	Served        uint64 `json:"served"`
}

func newSpread(b book, m *gossip.Members, client *link.ControlClient, e *event.Logger, self membership.Record) *spread {
	s := &spread{
		book: b, members: m, client: client, event: e, domain: self.Domain, self: self.ID,
		behind: make(chan membership.Behind, 1),
	}
	s.transfer = newTransfer(b, client, s.loaded.Load)
	m.OnBehind = s.noteBehind
	return s
}

// noteBehind keeps the latest news of a later revision for run.
func (s *spread) noteBehind(b membership.Behind) {
	select {
	case s.behind <- b:
	default:
	}
}

// run fetches what is missing until ctx ends.
func (s *spread) run(ctx context.Context) {
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

// applied keeps an entry that came in force here, from whatever source, and tells the others. It runs in the
// owner of the book and returns at once.
func (s *spread) applied(e ticket.Entry) {
	data, err := json.Marshal(e)
	if err != nil {
		return
	}
	s.mu.Lock()
	if n := len(s.kept); n > 0 && s.kept[n-1].Revision+1 != e.Revision {
		s.kept, s.sizes, s.bytes = nil, nil, 0
	}
	s.kept = append(s.kept, e)
	s.sizes = append(s.sizes, len(data))
	s.bytes += len(data)
	for len(s.kept) > keptEntries || (s.bytes > keptBytes && len(s.kept) > 1) {
		s.bytes -= s.sizes[0]
		s.kept, s.sizes = s.kept[1:], s.sizes[1:]
	}
	s.mu.Unlock()
	s.tell()
}

// tell announces the own revision once the state is whole. It runs in the owner of the book.
func (s *spread) tell() {
	revision := s.book.Revision()
	s.mu.Lock()
	s.revision = revision
	s.mu.Unlock()
	if s.loaded.Load() {
		s.members.SetRevision(uint64(revision))
	}
}

// answerEntries answers the call of an instance that is behind.
func (s *spread) answerEntries(_ context.Context, call entriesCall) (any, error) {
	if !s.loaded.Load() {
		return nil, result.New(result.NotReady, "this instance has not loaded its configuration")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := entriesAnswer{Revision: s.revision}
	if call.After >= out.Revision {
		return out, nil
	}
	first := slices.IndexFunc(s.kept, func(e ticket.Entry) bool { return e.Revision == call.After+1 })
	if first < 0 {
		out.Gone = true
		return out, nil
	}
	bytes := 0
	for n := first; n < len(s.kept) && len(out.Entries) < answerEntries; n++ {
		if bytes += s.sizes[n]; bytes > answerBytes && n > first {
			break
		}
		out.Entries = append(out.Entries, s.kept[n])
	}
	s.stats.Served += uint64(len(out.Entries))
	return out, nil
}

// fetch brings the book to the revision of another instance. It reports whether it got there.
func (s *spread) fetch(ctx context.Context, addr netip.AddrPort) bool {
	for ctx.Err() == nil {
		a, err := s.ask(ctx, addr)
		s.count(len(a.Entries), err)
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

func (s *spread) count(entries int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Fetches++
	s.stats.Entries += uint64(entries)
	if err != nil {
		s.stats.FetchesFailed++
	}
}

// Stats returns a snapshot of the counters.
func (s *spread) Stats() ReplicationStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *spread) ask(ctx context.Context, addr netip.AddrPort) (a entriesAnswer, err error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	err = s.client.Call(ctx, addr.String(), methodEntries, entriesCall{After: s.book.Revision()}, &a)
	return a, err
}

// applyAll puts entries in force that follow on the book; it stops at the first that is out of order or invalid.
func (s *spread) applyAll(entries []ticket.Entry) bool {
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

// load brings a starting instance to the revision of its peers while the platform is away. It asks a few and
// needs one whose state is whole.
func (s *spread) load(ctx context.Context) bool {
	records := s.members.All()
	mathrand.Shuffle(len(records), func(a, b int) { records[a], records[b] = records[b], records[a] })
	asked := 0
	for _, r := range records {
		if r.ID == s.self || asked == loadPeers || ctx.Err() != nil {
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
func (s *spread) setLoaded() {
	if !s.loaded.Swap(true) {
		s.members.SetRevision(uint64(s.book.Revision()))
	}
}

// watches reports whether this instance is one of its failure domain's watchers.
func (s *spread) watches() bool {
	return slices.Contains(s.members.Directory().Chosen(s.domain, "watch", watchersPerDomain), s.self)
}

// waitForDuty returns once this instance is to watch the platform, or ctx ends.
func (s *spread) waitForDuty(ctx context.Context) {
	for ctx.Err() == nil && !s.watches() {
		wait.Sleep(ctx, dutyPause)
	}
}
