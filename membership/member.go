package membership

import (
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// member is the local state of another process.
type member struct {
	id          ID
	incarnation uint64
	version     uint64
	status      status
	record      *Record
	raw         cbor.RawMessage
	// suspectedAt, deadline and observers describe a suspicion. A localOnly suspicion is not broadcast.
	suspectedAt time.Time
	deadline    time.Time
	observers   []uint32
	localOnly   bool
	endedAt     time.Time
}

// live reports whether the member is alive or only suspected.
func (m *member) live() bool { return m.status == statusAlive || m.status == statusSuspect }

// update returns the update that describes the member, seen by the given observer.
func (m *member) update(observer uint32) memberUpdate {
	return memberUpdate{ID: m.id, Incarnation: m.incarnation, Version: m.version, Status: m.status, Observer: observer}
}

// idSet is a set of IDs that allows a random choice.
type idSet struct {
	ids []ID
	at  map[ID]int
}

func newIDSet() idSet { return idSet{at: make(map[ID]int)} }

func (s *idSet) add(id ID) {
	if _, ok := s.at[id]; ok {
		return
	}
	s.at[id] = len(s.ids)
	s.ids = append(s.ids, id)
}

func (s *idSet) remove(id ID) {
	n, ok := s.at[id]
	if !ok {
		return
	}
	last := s.ids[len(s.ids)-1]
	s.ids[n] = last
	s.at[last] = n
	s.ids = s.ids[:len(s.ids)-1]
	delete(s.at, id)
}

// randomMembers returns up to n random live members with a known address, except the given one. It makes at most
// three attempts per member, so that it may return fewer than there are.
func (s *State) randomMembers(n int, except ID) []*member {
	var out []*member
	for range 3 * n {
		if len(out) == n || len(s.alive.ids) == 0 {
			break
		}
		m := s.members[s.alive.ids[s.rand.IntN(len(s.alive.ids))]]
		if m.id != except && m.record != nil && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// sortedSuspects returns the suspected members by ID, so that their order does not depend on a map.
func (s *State) sortedSuspects() []*member {
	out := make([]*member, 0, len(s.suspects))
	for m := range s.suspects {
		out = append(out, m)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].id < out[b].id })
	return out
}

// addMember creates a live member of which only the ID and the incarnation are known.
func (s *State) addMember(id ID, incarnation uint64) *member {
	m := &member{id: id, incarnation: incarnation, status: statusAlive}
	s.members[id] = m
	s.alive.add(id)
	s.updateDigest(id, 0, m.hash())
	return m
}

// fail marks a member as failed because it did not refute a suspicion. It is kept for later probes if its address is
// known.
func (s *State) fail(now time.Time, m *member) {
	s.stats.Failed++
	s.end(now, m, statusFailed)
	if m.record != nil {
		s.failed.add(m.id)
	}
}

// end turns a member into a tombstone with the given final status.
func (s *State) end(now time.Time, m *member, to status) {
	if m.live() {
		s.updateDigest(m.id, m.hash(), 0)
	}
	m.status = to
	m.endedAt = now
	m.raw = nil
	m.version = 0
	m.observers = nil
	s.alive.remove(m.id)
	s.failed.remove(m.id)
	delete(s.suspects, m)
	delete(s.pendingPulls, m.id)
	if m.record == nil {
		return
	}
	stripped := *m.record // a tombstone keeps the address, not the endpoints
	stripped.Endpoints = nil
	m.record = &stripped
	s.releaseAddress(m)
	s.emit(Ended{ID: m.id, Left: to == statusLeft})
}

// revive makes a failed member live again. Its record is requested again, and an early synchronization is scheduled
// because a network partition may have healed.
func (s *State) revive(now time.Time, m *member) {
	m.status = statusAlive
	s.failed.remove(m.id)
	s.alive.add(m.id)
	s.updateDigest(m.id, 0, m.hash())
	s.scheduleEarlySync(now)
	if m.record != nil {
		s.requestRecord(m.record.Control, m.id, 1)
	}
}

// setRecord stores a newer record of a live member and broadcasts it. The update is urgent if the member starts to
// leave or an endpoint stops taking work.
func (s *State) setRecord(now time.Time, m *member, r *Record, raw cbor.RawMessage) {
	first := m.version == 0
	urgent := r.Leaving
	if m.record != nil {
		urgent = urgent && !m.record.Leaving || stopsTakingWork(m.record.Endpoints, r.Endpoints)
		if m.record.Control != r.Control {
			s.releaseAddress(m)
		}
	}
	before := m.hash()
	m.record, m.raw, m.version = r, raw, r.Version
	s.updateDigest(m.id, before, m.hash())
	delete(s.pendingPulls, m.id)
	s.claimAddress(m)
	if first {
		s.emit(Joined{Record: r})
	}
	s.broadcast(now, m, s.selfIDHash, urgent)
}

// stopsTakingWork reports whether any endpoint took work before and does not afterwards.
func stopsTakingWork(before, after []Endpoint) bool {
	for _, b := range before {
		if b.State == Draining || b.State == Ejected {
			continue
		}
		n := slices.IndexFunc(after, func(a Endpoint) bool { return a.Backend == b.Backend && a.Service == b.Service })
		if n < 0 || after[n].State == Draining || after[n].State == Ejected {
			return true
		}
	}
	return false
}

// claimAddress registers a member as a claimant of its control address, and publishes it if it is the first claimant.
func (s *State) claimAddress(m *member) {
	addr := m.record.Control
	claimants := s.claims[addr]
	if !slices.Contains(claimants, m.id) {
		claimants = append(claimants, m.id)
		s.claims[addr] = claimants
	}
	if addr == s.self.Control {
		s.emit(AddressConflict{ID: m.id, Other: s.self.ID})
		s.send(addr, &Message{Kind: kindPing, Target: m.id}) // if it arrives here, failClaimantsOfOwnAddress runs
		return
	}
	if claimants[0] != m.id {
		s.emit(AddressConflict{ID: m.id, Other: claimants[0]})
		return
	}
	s.publish(m)
}

// releaseAddress removes a member from the claimants of its control address and publishes the first remaining
// claimant.
func (s *State) releaseAddress(m *member) {
	addr := m.record.Control
	claimants := slices.DeleteFunc(s.claims[addr], func(id ID) bool { return id == m.id })
	s.withdraw(m)
	if len(claimants) == 0 {
		delete(s.claims, addr)
		return
	}
	s.claims[addr] = claimants
	if addr != s.self.Control {
		s.publish(s.members[claimants[0]])
	}
}

// preferClaimant publishes the member that sent a message from an address with several claimants.
func (s *State) preferClaimant(m *member, from netip.AddrPort) {
	claimants := s.claims[from]
	n := slices.Index(claimants, m.id)
	if n <= 0 || from == s.self.Control {
		return
	}
	s.withdraw(s.members[claimants[0]])
	claimants[0], claimants[n] = claimants[n], claimants[0]
	s.publish(m)
}

// failClaimantsOfOwnAddress handles a message that this instance sent to its own control address. It arrived here, so
// no other process can be using the address, and all members that claim it have failed.
func (s *State) failClaimantsOfOwnAddress(now time.Time) {
	for _, id := range slices.Clone(s.claims[s.self.Control]) {
		m := s.members[id]
		s.fail(now, m)
		s.broadcast(now, m, s.selfIDHash, true)
	}
}

// publish adds the member's record to the directory.
func (s *State) publish(m *member) {
	s.pendingChanges[m.id] = m.record
	s.emit(DirectoryChanged{})
}

// withdraw removes the member's record from the directory.
func (s *State) withdraw(m *member) {
	s.pendingChanges[m.id] = nil
	s.emit(DirectoryChanged{})
}

// randomFailed returns a random failed member, or nil if there is none or its address is in use by a live process.
func (s *State) randomFailed() *member {
	if len(s.failed.ids) == 0 {
		return nil
	}
	m := s.members[s.failed.ids[s.rand.IntN(len(s.failed.ids))]]
	if len(s.claims[m.record.Control]) > 0 || m.record.Control == s.self.Control {
		return nil
	}
	return m
}

// pruneInterval is the time between scans for expired tombstones.
const pruneInterval = time.Minute

// pruneTombstones forgets members that ended long ago. If there are more than MaxTombstones, it forgets the oldest.
func (s *State) pruneTombstones(now time.Time) {
	if len(s.members)-len(s.alive.ids) <= s.config.MaxTombstones && now.Before(s.nextPrune) {
		return
	}
	s.nextPrune = now.Add(pruneInterval)
	var ended []*member
	for _, m := range s.members {
		if !m.live() {
			ended = append(ended, m)
		}
	}
	sort.Slice(ended, func(a, b int) bool {
		if ended[a].endedAt.Equal(ended[b].endedAt) {
			return ended[a].id < ended[b].id
		}
		return ended[a].endedAt.Before(ended[b].endedAt)
	})
	excess := len(ended) - s.config.MaxTombstones
	for n, m := range ended {
		keep := s.config.LeftRetention
		if m.status == statusFailed {
			keep = s.config.FailedRetention
		}
		if n < excess || now.Sub(m.endedAt) > keep {
			s.failed.remove(m.id)
			delete(s.members, m.id)
		}
	}
}
