package membership

import (
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// member is what is known of another process.
type member struct {
	id          ID
	incarnation uint64
	version     uint64
	status      status
	record      *Record
	raw         cbor.RawMessage
	// suspectedAt, deadline and observers belong to a suspicion; local keeps it to this instance.
	suspectedAt time.Time
	deadline    time.Time
	observers   []uint32
	local       bool
	endedAt     time.Time
}

func (m *member) live() bool { return m.status == statusAlive || m.status == statusSuspect }

func (m *member) news(by uint32) news {
	return news{ID: m.id, Incarnation: m.incarnation, Version: m.version, Status: m.status, By: by}
}

// idSet is a set of identities from which random ones are picked.
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

// pick returns up to n random live members with a known address, except one.
func (s *State) pick(n int, except ID) []*member {
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

func (s *State) sortedSuspects() []*member {
	out := make([]*member, 0, len(s.suspects))
	for m := range s.suspects {
		out = append(out, m)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].id < out[b].id })
	return out
}

// add creates a live member of which nothing but the identity is known.
func (s *State) add(id ID, incarnation uint64) *member {
	m := &member{id: id, incarnation: incarnation, status: statusAlive}
	s.members[id] = m
	s.alive.add(id)
	s.updateDigest(id, 0, m.hash())
	return m
}

// fail ends a member that did not refute.
func (s *State) fail(now time.Time, m *member) {
	s.stats.Failed++
	s.end(now, m, statusFailed)
	if m.record != nil {
		s.failed.add(m.id)
	}
}

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
	delete(s.wanted, m.id)
	if m.record == nil {
		return
	}
	bare := *m.record // a tombstone keeps the address only
	bare.Endpoints = nil
	m.record = &bare
	s.release(m)
	s.emit(Ended{ID: m.id, Left: to == statusLeft})
}

// revive brings a failed member back to life. Its record is asked for anew, and a synchronization follows soon,
// since a split may have healed.
func (s *State) revive(now time.Time, m *member) {
	m.status = statusAlive
	s.failed.remove(m.id)
	s.alive.add(m.id)
	s.updateDigest(m.id, 0, m.hash())
	s.syncSoon(now)
	if m.record != nil {
		s.want(m.record.Control, m.id, 1)
	}
}

// setRecord takes over a newer record of a live member.
func (s *State) setRecord(now time.Time, m *member, r *Record, raw cbor.RawMessage) {
	first := m.version == 0
	urgent := r.Leaving
	if m.record != nil {
		urgent = urgent && !m.record.Leaving || stopsWork(m.record.Endpoints, r.Endpoints)
		if m.record.Control != r.Control {
			s.release(m)
		}
	}
	before := m.hash()
	m.record, m.raw, m.version = r, raw, r.Version
	s.updateDigest(m.id, before, m.hash())
	delete(s.wanted, m.id)
	s.claim(m)
	if first {
		s.emit(Joined{Record: r})
	}
	s.announce(now, m, s.hash, urgent)
}

// stopsWork reports whether an endpoint that took work does so no longer.
func stopsWork(before, after []Endpoint) bool {
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

// claim enters a member for its address and publishes it if it is the first there.
func (s *State) claim(m *member) {
	addr := m.record.Control
	list := s.claims[addr]
	if !slices.Contains(list, m.id) {
		list = append(list, m.id)
		s.claims[addr] = list
	}
	if addr == s.self.Control {
		s.emit(AddressConflict{ID: m.id, Other: s.self.ID})
		s.send(addr, &Message{Kind: kindPing, Target: m.id}) // holdAddress runs if it comes back
		return
	}
	if list[0] != m.id {
		s.emit(AddressConflict{ID: m.id, Other: list[0]})
		return
	}
	s.show(m)
}

// release takes a member from its address; the next claimant is shown in its place.
func (s *State) release(m *member) {
	addr := m.record.Control
	list := slices.DeleteFunc(s.claims[addr], func(id ID) bool { return id == m.id })
	s.hide(m)
	if len(list) == 0 {
		delete(s.claims, addr)
		return
	}
	s.claims[addr] = list
	if addr != s.self.Control {
		s.show(s.members[list[0]])
	}
}

// promote shows the member that was heard from an address which several claim.
func (s *State) promote(m *member, from netip.AddrPort) {
	list := s.claims[from]
	n := slices.Index(list, m.id)
	if n <= 0 || from == s.self.Control {
		return
	}
	s.hide(s.members[list[0]])
	list[0], list[n] = list[n], list[0]
	s.show(m)
}

// holdAddress runs when a message to the own address came back, so that no other process can be there: members
// that claim the address are gone.
func (s *State) holdAddress(now time.Time) {
	for _, id := range slices.Clone(s.claims[s.self.Control]) {
		m := s.members[id]
		s.fail(now, m)
		s.announce(now, m, s.hash, true)
	}
}

func (s *State) show(m *member) {
	s.changed[m.id] = m.record
	s.emit(DirectoryChanged{})
}

func (s *State) hide(m *member) {
	s.changed[m.id] = nil
	s.emit(DirectoryChanged{})
}

// anyFailed returns a random failed member whose address nobody else has taken.
func (s *State) anyFailed() *member {
	if len(s.failed.ids) == 0 {
		return nil
	}
	m := s.members[s.failed.ids[s.rand.IntN(len(s.failed.ids))]]
	if len(s.claims[m.record.Control]) > 0 || m.record.Control == s.self.Control {
		return nil
	}
	return m
}

const sweepEvery = time.Minute

// sweep forgets members that ended long ago, the oldest first where there are too many.
func (s *State) sweep(now time.Time) {
	if len(s.members)-len(s.alive.ids) <= s.config.MaxTombstones && now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = now.Add(sweepEvery)
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
