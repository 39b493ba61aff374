package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// State is the membership as one instance sees it: a plain state machine. Its owner passes in time, messages and
// local changes, and carries out the actions that come back. It is not safe for concurrent use.
//
// Members are probed in turn, directly and through others; one that does not answer is suspected and fails
// unless it refutes with a higher incarnation. News of members travels as identities and numbers; the record
// behind it is asked for once by each instance. What is missed is repaired by synchronization.
type State struct {
	config Config
	rand   *rand.Rand

	self        Record
	selfRaw     cbor.RawMessage
	selfAt      time.Time // of the last version
	selfChanged bool
	selfUrgent  bool
	incarnation uint64
	left        bool
	hash        uint32
	revision    uint64

	members  map[ID]*member
	alive    idSet
	failed   idSet
	suspects map[*member]struct{}
	claims   map[netip.AddrPort][]ID
	digest   Digest
	viewHash uint64
	// differsAt is since when this view differs from others without a change of its own.
	differsAt time.Time
	wanted    map[ID]*want
	// syncNeeded says that news or records could not be passed on one by one.
	syncNeeded bool
	// newcomer says that this instance knew nobody when a synchronization began; silent keeps news from the queue.
	newcomer, silent bool

	health     awareness
	probe      *probe
	relays     map[uint64]*relay
	order      []ID
	orderAt    int
	seq        uint64
	contacts   []netip.AddrPort
	joinSeqs   map[uint64]struct{}
	lastTick   time.Time
	heardAt    time.Time
	nextProbe  time.Time
	nextSpread time.Time
	nextSync   time.Time
	nextRejoin time.Time
	nextJoin   time.Time
	nextSweep  time.Time

	queue         map[ID]*item
	queueSeq      uint64
	revisionSends int
	spread        bucket
	answers       bucket

	directory *Directory
	changed   map[ID]*Record
	actions   []Action
	stats     Stats
}

// Options are the options of a State.
type Options struct {
	// Self is the record of this instance; State raises its version.
	Self   Record
	Config Config
	// Rand makes the random choices.
	Rand *rand.Rand
	// Now is the time of the start.
	Now time.Time
}

// New returns the state of an instance that knows only itself.
func New(o Options) *State {
	s := &State{
		config:   o.Config,
		rand:     o.Rand,
		hash:     uint32(xxhash.Sum64String(string(o.Self.ID))),
		members:  make(map[ID]*member),
		alive:    newIDSet(),
		failed:   newIDSet(),
		suspects: make(map[*member]struct{}),
		claims:   make(map[netip.AddrPort][]ID),
		wanted:   make(map[ID]*want),
		health:   awareness{max: o.Config.MaxHealthScore},
		relays:   make(map[uint64]*relay),
		joinSeqs: make(map[uint64]struct{}),
		queue:    make(map[ID]*item),
		lastTick: o.Now,
		heardAt:  o.Now,
		spread:   bucket{rate: o.Config.GossipRate, burst: o.Config.GossipBurst, level: o.Config.GossipBurst, at: o.Now},
		answers:  bucket{rate: o.Config.AckRate, burst: o.Config.AckBurst, level: o.Config.AckBurst, at: o.Now},
		changed:  make(map[ID]*Record),
	}
	s.incarnation = 1
	s.directory = NewDirectory(nil)
	s.self = o.Self
	s.self.Protocols = [2]uint8{minProtocolVersion, protocolVersion}
	s.nextProbe = o.Now.Add(s.jitter(o.Config.ProbeInterval))
	s.nextSync = o.Now.Add(s.jitter(o.Config.SyncInterval))
	s.nextRejoin = o.Now.Add(s.jitter(o.Config.RejoinInterval))
	s.publishSelf(o.Now, false)
	s.actions = nil
	return s
}

// jitter returns a duration between half and one and a half of d.
func (s *State) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rand.Int64N(int64(d)+1))
}

// Self returns the record of this instance.
func (s *State) Self() Record { return s.self }

// Stats returns a snapshot of the counters.
func (s *State) Stats() Stats {
	out := s.stats
	out.Members = len(s.alive.ids)
	out.Suspects = len(s.suspects)
	out.Tombstones = len(s.members) - len(s.alive.ids)
	out.Health = s.health.score
	out.Queue = len(s.queue)
	return out
}

// Directory returns the present view; it is built anew only where something changed.
func (s *State) Directory() *Directory {
	if len(s.changed) > 0 {
		s.directory = s.directory.Update(s.changed)
		s.changed = make(map[ID]*Record)
	}
	return s.directory
}

// Tick drives everything that depends on time. It is called every TickInterval.
func (s *State) Tick(now time.Time) []Action {
	s.notePause(now)
	if s.left {
		s.runSpread(now)
		return s.take()
	}
	s.runSelf(now)
	s.expireRelays(now)
	s.runProbe(now)
	s.expireSuspicions(now)
	s.retryWanted(now)
	s.runSpread(now)
	s.runSync(now)
	s.rejoin(now)
	s.join(now)
	s.sweep(now)
	return s.take()
}

// Receive handles a message that came from an address.
func (s *State) Receive(now time.Time, from netip.AddrPort, m *Message) []Action {
	if m.From == s.self.ID {
		s.holdAddress(now)
		return s.take()
	}
	s.stats.Received++
	s.heardAt = now
	s.compare(now, m)
	s.hear(now, from, m)
	s.receiveNews(now, from, m.Updates)
	switch m.Kind {
	case kindPing:
		s.receivePing(now, from, m)
	case kindAck:
		s.receiveAck(now, from, m)
	case kindNack:
		s.receiveNack(m)
	case kindPingRequest:
		s.receivePingRequest(now, from, m)
	case kindPull:
		s.receivePull(now, from, m)
	case kindRecords:
		s.receiveRecords(now, m.Records)
	case kindTooLarge:
		s.emit(SyncWith{ID: m.From, Address: from})
	}
	return s.take()
}

// hear notes what the bare arrival of a message says of its sender.
func (s *State) hear(now time.Time, from netip.AddrPort, m *Message) {
	known, ok := s.members[m.From]
	if !ok || (known.live() && known.version == 0) {
		s.want(from, m.From, 1)
		s.flushPull(now, from)
		return
	}
	if known.local {
		s.restore(now, known)
	}
	s.promote(known, from)
	if m.Revision > s.revision && known.live() {
		s.emit(NewerRevision{ID: m.From, Address: known.record.Control, Revision: m.Revision})
	}
}

// SetSelf replaces the endpoints and the leaving mark of this instance. Endpoints that stop taking work, and
// leaving, go ahead of other news. Changes that follow each other closely travel as one.
func (s *State) SetSelf(now time.Time, endpoints []Endpoint, leaving bool) []Action {
	s.selfUrgent = s.selfUrgent || leaving && !s.self.Leaving || stopsWork(s.self.Endpoints, endpoints)
	s.self.Endpoints = endpoints
	s.self.Leaving = leaving
	s.selfChanged = true
	s.runSelf(now)
	return s.take()
}

// runSelf publishes a changed record once its time has come.
func (s *State) runSelf(now time.Time) {
	gap := s.config.SelfUpdateInterval
	if s.selfUrgent {
		gap = s.config.UrgentSelfUpdateInterval
	}
	if !s.selfChanged || now.Sub(s.selfAt) < gap {
		return
	}
	urgent := s.selfUrgent
	s.selfChanged, s.selfUrgent, s.selfAt = false, false, now
	s.publishSelf(now, urgent)
}

func (s *State) publishSelf(now time.Time, urgent bool) {
	before := uint64(0)
	if s.self.Version > 0 {
		before = s.selfHash()
	}
	s.self.Version++
	s.updateDigest(s.self.ID, before, s.selfHash())
	r := s.self
	raw, err := encodeRecord(&r)
	if err != nil {
		s.stats.RecordsRefused++
		return
	}
	s.selfRaw = raw
	s.changed[r.ID] = &r
	s.emit(DirectoryChanged{})
	s.announceSelf(now, urgent)
}

// Leave tells the others that this process is about to end. Nothing brings it back.
func (s *State) Leave(now time.Time) []Action {
	s.left = true
	s.announceSelf(now, true)
	return s.take()
}

// SetRevision tells the ticket revision in force here; the others hear of it at once.
func (s *State) SetRevision(now time.Time, revision uint64) []Action {
	if revision <= s.revision {
		return nil
	}
	s.revision = revision
	s.revisionSends = s.retransmits()
	s.spreadTo(now, s.config.UrgentFanout)
	return s.take()
}

// Join gives addresses to ask while no other member is known.
func (s *State) Join(contacts []netip.AddrPort) {
	s.contacts = slices.DeleteFunc(slices.Clone(contacts), func(a netip.AddrPort) bool { return a == s.self.Control })
}

func (s *State) join(now time.Time) {
	if len(s.alive.ids) > 0 || len(s.contacts) == 0 || now.Before(s.nextJoin) {
		return
	}
	s.nextJoin = now.Add(s.jitter(s.config.JoinInterval))
	clear(s.joinSeqs)
	for range min(len(s.contacts), s.config.IndirectProbes) {
		s.seq++
		s.joinSeqs[s.seq] = struct{}{}
		s.send(s.contacts[s.rand.IntN(len(s.contacts))], &Message{Kind: kindPing, Seq: s.seq})
	}
}

// joining handles the answer to a ping of join: one synchronization gives the whole view.
func (s *State) joining(now time.Time, m *Message, from netip.AddrPort) bool {
	if _, ok := s.joinSeqs[m.Seq]; !ok {
		return false
	}
	clear(s.joinSeqs)
	s.syncSoon(now)
	s.emit(SyncWith{ID: m.From, Address: from})
	return true
}

// syncSoon brings the next synchronization forward.
func (s *State) syncSoon(now time.Time) {
	s.nextSync = minTime(s.nextSync, now.Add(s.jitter(s.config.EarlySyncInterval)))
}

func (s *State) runSync(now time.Time) {
	if now.Before(s.nextSync) {
		return
	}
	s.nextSync = now.Add(s.jitter(s.config.SyncInterval))
	for _, m := range s.pick(1, "") {
		s.emit(SyncWith{ID: m.id, Address: m.record.Control})
	}
}

func (s *State) send(to netip.AddrPort, m *Message) {
	m.Protocol = protocolVersion
	m.From = s.self.ID
	m.Revision = s.revision
	if m.Kind == kindPing || m.Kind == kindAck {
		m.ViewHash = s.viewHash
	}
	s.stats.Sent++
	s.stats.BytesSent += uint64(m.size())
	s.emit(Send{To: to, Message: m})
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

func (s *State) take() []Action {
	out := s.actions
	s.actions = nil
	return out
}
