package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// State is the membership as one instance sees it. It is a deterministic state machine: its owner passes in the time,
// messages and local changes, and carries out the actions that are returned. It is not safe for concurrent use.
//
// The protocol follows SWIM. Members are probed in turn, directly and through other members. A member that does not
// acknowledge is suspected, and fails unless it refutes the suspicion with a higher incarnation. Updates carry only
// IDs and numbers; each instance pulls the record behind an update once. Synchronization repairs what was missed.
type State struct {
	config Config
	rand   *rand.Rand

	self            Record
	selfRaw         cbor.RawMessage
	selfPublishedAt time.Time // when the latest version was published
	selfChanged     bool
	selfUrgent      bool
	incarnation     uint64
	left            bool
	selfIDHash      uint32
	revision        uint64

	members  map[ID]*member
	alive    idSet
	failed   idSet
	suspects map[*member]struct{}
	claims   map[netip.AddrPort][]ID
	digest   Digest
	viewHash uint64
	// mismatchSince is the time since which the unchanged local view has differed from the views of other members.
	mismatchSince time.Time
	pendingPulls  map[ID]*pendingPull
	// syncNeeded is set when updates or records could not be sent or pulled one by one.
	syncNeeded bool
	// newcomer is set if this instance knew at most one member when a synchronization began. suppressBroadcasts keeps
	// updates out of the queue.
	newcomer, suppressBroadcasts bool

	health        awareness
	probe         *probe
	relayedProbes map[uint64]*relayedProbe
	probeOrder    []ID
	probeIndex    int
	seq           uint64
	contacts      []netip.AddrPort
	joinPingSeqs  map[uint64]struct{}
	lastTick      time.Time
	lastReceived  time.Time
	nextProbe     time.Time
	nextGossip    time.Time
	nextSync      time.Time
	nextRejoin    time.Time
	nextJoin      time.Time
	nextPrune     time.Time

	queue         map[ID]*queuedUpdate
	lastQueueSeq  uint64
	revisionSends int
	gossipBudget  tokenBucket
	ackBudget     tokenBucket
	readingBudget tokenBucket

	directory      *Directory
	pendingChanges map[ID]*Record
	actions        []Action
	stats          Stats
}

// Options are the options of a State.
type Options struct {
	// Self is the record of this instance. The State increments its version.
	Self   Record
	Config Config
	// Rand is the source of all random choices.
	Rand *rand.Rand
	// Now is the start time.
	Now time.Time
}

// New returns the state of an instance that knows no other member.
func New(o Options) *State {
	s := &State{
		config:        o.Config,
		rand:          o.Rand,
		selfIDHash:    uint32(xxhash.Sum64String(string(o.Self.ID))),
		members:       make(map[ID]*member),
		alive:         newIDSet(),
		failed:        newIDSet(),
		suspects:      make(map[*member]struct{}),
		claims:        make(map[netip.AddrPort][]ID),
		pendingPulls:  make(map[ID]*pendingPull),
		health:        awareness{max: o.Config.MaxHealthScore},
		relayedProbes: make(map[uint64]*relayedProbe),
		joinPingSeqs:  make(map[uint64]struct{}),
		queue:         make(map[ID]*queuedUpdate),
		lastTick:      o.Now,
		lastReceived:  o.Now,
		gossipBudget: tokenBucket{
			rate: o.Config.GossipRate, burst: o.Config.GossipBurst, level: o.Config.GossipBurst, updatedAt: o.Now,
		},
		ackBudget: tokenBucket{rate: o.Config.AckRate, burst: o.Config.AckBurst, level: o.Config.AckBurst, updatedAt: o.Now},
		readingBudget: tokenBucket{
			rate: o.Config.ReadingRate, burst: o.Config.ReadingBurst, level: o.Config.ReadingBurst, updatedAt: o.Now,
		},
		pendingChanges: make(map[ID]*Record),
	}
	s.incarnation = 1
	s.directory = NewDirectory(nil)
	s.self = o.Self
	if s.self.Protocols == [2]uint8{} {
		s.self.Protocols = [2]uint8{minProtocolVersion, protocolVersion}
	}
	s.nextProbe = o.Now.Add(s.jitter(o.Config.ProbeInterval))
	s.nextSync = o.Now.Add(s.jitter(o.Config.SyncInterval))
	s.nextRejoin = o.Now.Add(s.jitter(o.Config.RejoinInterval))
	s.publishSelf(o.Now, false)
	s.actions = nil
	return s
}

// jitter returns a random duration between half of d and one and a half times d.
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

// Directory returns the current view. It is rebuilt only after a change.
func (s *State) Directory() *Directory {
	if len(s.pendingChanges) > 0 {
		s.directory = s.directory.Update(s.pendingChanges)
		s.pendingChanges = make(map[ID]*Record)
	}
	return s.directory
}

// Tick runs everything that depends on time. It must be called every TickInterval.
func (s *State) Tick(now time.Time) []Action {
	s.compensateForPause(now)
	if s.left {
		s.runGossip(now)
		return s.takeActions()
	}
	s.publishSelfIfDue(now)
	s.expireRelays(now)
	s.runProbe(now)
	s.expireSuspicions(now)
	s.retryPulls(now)
	s.runGossip(now)
	s.runSync(now)
	s.probeFailedMember(now)
	s.pingContacts(now)
	s.pruneTombstones(now)
	return s.takeActions()
}

// Receive handles a message from the given address.
func (s *State) Receive(now time.Time, from netip.AddrPort, m *Message) []Action {
	if m.From == s.self.ID {
		s.failClaimantsOfOwnAddress(now)
		return s.takeActions()
	}
	s.stats.Received++
	s.lastReceived = now
	s.checkViewHash(now, m)
	s.noteSender(now, from, m)
	s.receiveUpdates(now, from, m.Updates)
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
	case kindReading:
		s.receiveReading(from, m)
	case kindTooLarge:
		s.emit(SyncWith{ID: m.From, Address: from})
	}
	return s.takeActions()
}

// noteSender handles the evidence that any message gives about its sender: that it is alive, which address it uses
// and which ticket revision it has in force.
func (s *State) noteSender(now time.Time, from netip.AddrPort, m *Message) {
	known, ok := s.members[m.From]
	if !ok || (known.live() && known.version == 0) {
		s.requestRecord(from, m.From, 1)
		s.sendPull(now, from)
		return
	}
	if known.localOnly {
		s.restore(now, known)
	}
	s.preferClaimant(known, from)
	if m.Revision > s.revision && known.live() {
		s.emit(NewerRevision{ID: m.From, Address: known.record.Control, Revision: m.Revision})
	}
}

// SetSelf replaces the endpoints and the leaving flag of this instance. The update is urgent if an endpoint stops
// taking work or the instance starts to leave. Changes in quick succession are sent as one.
func (s *State) SetSelf(now time.Time, endpoints []Endpoint, leaving bool) []Action {
	s.selfUrgent = s.selfUrgent || leaving && !s.self.Leaving || stopsTakingWork(s.self.Endpoints, endpoints)
	s.self.Endpoints = endpoints
	s.self.Leaving = leaving
	s.selfChanged = true
	s.publishSelfIfDue(now)
	return s.takeActions()
}

// publishSelfIfDue publishes a changed record of this instance once the minimum interval has passed.
func (s *State) publishSelfIfDue(now time.Time) {
	gap := s.config.SelfUpdateInterval
	if s.selfUrgent {
		gap = s.config.UrgentSelfUpdateInterval
	}
	if !s.selfChanged || now.Sub(s.selfPublishedAt) < gap {
		return
	}
	urgent := s.selfUrgent
	s.selfChanged, s.selfUrgent, s.selfPublishedAt = false, false, now
	s.publishSelf(now, urgent)
}

// publishSelf increments the version of this instance's record, adds the record to the directory and broadcasts it.
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
	s.pendingChanges[r.ID] = &r
	s.emit(DirectoryChanged{})
	s.broadcastSelf(now, urgent)
}

// Leave broadcasts that this process is about to end. It cannot be undone.
func (s *State) Leave(now time.Time) []Action {
	s.left = true
	s.broadcastSelf(now, true)
	return s.takeActions()
}

// SetRevision sets the ticket revision in force at this instance and sends a later one to other members at once.
func (s *State) SetRevision(now time.Time, revision uint64) []Action {
	if revision <= s.revision {
		return nil
	}
	s.revision = revision
	s.revisionSends = s.retransmitLimit()
	s.gossipTo(now, s.config.UrgentFanout)
	return s.takeActions()
}

// Join sets the addresses that are contacted while no other member is known.
func (s *State) Join(contacts []netip.AddrPort) {
	s.contacts = slices.DeleteFunc(slices.Clone(contacts), func(a netip.AddrPort) bool { return a == s.self.Control })
}

// pingContacts pings random contacts while no other member is known.
func (s *State) pingContacts(now time.Time) {
	if len(s.alive.ids) > 0 || len(s.contacts) == 0 || now.Before(s.nextJoin) {
		return
	}
	s.nextJoin = now.Add(s.jitter(s.config.JoinInterval))
	clear(s.joinPingSeqs)
	for range min(len(s.contacts), s.config.IndirectProbes) {
		s.seq++
		s.joinPingSeqs[s.seq] = struct{}{}
		s.send(s.contacts[s.rand.IntN(len(s.contacts))], &Message{Kind: kindPing, Seq: s.seq})
	}
}

// handleJoinAck handles the acknowledgement of a ping of pingContacts and reports whether it was one. It requests a
// synchronization, which brings the whole view.
func (s *State) handleJoinAck(now time.Time, m *Message, from netip.AddrPort) bool {
	if _, ok := s.joinPingSeqs[m.Seq]; !ok {
		return false
	}
	clear(s.joinPingSeqs)
	s.scheduleEarlySync(now)
	s.emit(SyncWith{ID: m.From, Address: from})
	return true
}

// scheduleEarlySync brings the next synchronization forward.
func (s *State) scheduleEarlySync(now time.Time) {
	s.nextSync = minTime(s.nextSync, now.Add(s.jitter(s.config.EarlySyncInterval)))
}

// runSync requests a synchronization with a random member when one is due.
func (s *State) runSync(now time.Time) {
	if now.Before(s.nextSync) {
		return
	}
	s.nextSync = now.Add(s.jitter(s.config.SyncInterval))
	for _, m := range s.randomMembers(1, "") {
		s.emit(SyncWith{ID: m.id, Address: m.record.Control})
	}
}

// send fills in the fields that every message has, counts the message and emits it.
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

// takeActions returns the actions emitted since the last call.
func (s *State) takeActions() []Action {
	out := s.actions
	s.actions = nil
	return out
}
