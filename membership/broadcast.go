package membership

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

// queuedUpdate is an update in the broadcast queue, with the number of times it was sent.
type queuedUpdate struct {
	update memberUpdate
	urgent bool
	sends  int
	seq    uint64
}

// retransmitLimit returns how many times each instance sends one update. It grows with the logarithm of the number of
// live members.
func (s *State) retransmitLimit() int {
	return s.config.RetransmitFactor * int(math.Ceil(math.Log10(float64(len(s.alive.ids)+2))))
}

// urgentFactor is how many times more often urgent updates are sent. A member that misses an urgent update gets it
// only when views are next compared, so a miss must be unlikely.
const urgentFactor = 2

// broadcast queues the current update of a member, which replaces any queued update of the same member.
func (s *State) broadcast(now time.Time, m *member, observer uint32, urgent bool) {
	if s.suppressBroadcasts {
		return
	}
	s.enqueue(now, m.update(observer), urgent)
}

// selfUpdate returns the update that describes this instance.
func (s *State) selfUpdate() memberUpdate {
	u := memberUpdate{ID: s.self.ID, Incarnation: s.incarnation, Version: s.self.Version, Status: statusAlive}
	if s.left {
		u.Status = statusLeft
	}
	return u
}

// broadcastSelf queues the update of this instance; an urgent one is also sent to UrgentFanout members at once.
func (s *State) broadcastSelf(now time.Time, urgent bool) {
	s.enqueue(now, s.selfUpdate(), urgent)
	if urgent {
		s.gossipTo(now, s.config.UrgentFanout)
	}
}

// enqueue puts an update into the queue. It stays urgent if it replaces an urgent update that was never sent.
func (s *State) enqueue(now time.Time, u memberUpdate, urgent bool) {
	s.lastQueueSeq++
	if old, ok := s.queue[u.ID]; ok && old.urgent && old.sends == 0 {
		urgent = true
	}
	s.queue[u.ID] = &queuedUpdate{update: u, urgent: urgent, seq: s.lastQueueSeq}
	if s.nextGossip.Before(now) {
		s.nextGossip = now.Add(time.Duration(s.rand.Int64N(int64(s.config.GossipInterval))))
	}
}

// orderedQueue returns the queue with urgent updates first, then those sent least often, then the newest.
func (s *State) orderedQueue() []*queuedUpdate {
	out := make([]*queuedUpdate, 0, len(s.queue))
	for _, q := range s.queue {
		out = append(out, q)
	}
	slices.SortFunc(out, func(a, b *queuedUpdate) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(b.seq, a.seq))
	})
	return out
}

// piggyback adds queued updates to a message as far as the datagram size and the gossip budget allow.
func (s *State) piggyback(now time.Time, m *Message) {
	if len(s.queue) == 0 {
		return
	}
	room := maxDatagramBytes - m.size()
	limit := s.retransmitLimit()
	for _, q := range s.orderedQueue() {
		size := q.update.size()
		if size > room || len(m.Updates) >= maxUpdates || !s.spendGossip(now, size, q.urgent) {
			return
		}
		room -= size
		m.Updates = append(m.Updates, q.update)
		q.sends++
		if q.sends >= limit && (!q.urgent || q.sends >= urgentFactor*limit) {
			delete(s.queue, q.update.ID)
		}
	}
}

// runGossip sends a gossip round when one is due and there are updates or a new ticket revision to send.
func (s *State) runGossip(now time.Time) {
	if now.Before(s.nextGossip) || (len(s.queue) == 0 && s.revisionSends == 0) {
		return
	}
	s.nextGossip = now.Add(s.config.GossipInterval)
	s.gossipTo(now, s.config.GossipFanout)
}

// gossipTo sends queued updates and the ticket revision to random members, as many as fanout gives.
func (s *State) gossipTo(now time.Time, fanout int) {
	for _, m := range s.randomMembers(fanout, "") {
		msg := &Message{Kind: kindGossip}
		if !s.spendGossip(now, msg.size(), s.hasUrgent()) {
			return
		}
		s.piggyback(now, msg)
		if len(msg.Updates) == 0 && s.revisionSends == 0 {
			return
		}
		s.revisionSends = max(s.revisionSends-1, 0)
		s.send(m.record.Control, msg)
	}
}

// hasUrgent reports whether an urgent update or a new ticket revision is waiting to be sent.
func (s *State) hasUrgent() bool {
	if s.revisionSends > 0 {
		return true
	}
	for _, q := range s.queue {
		if q.urgent {
			return true
		}
	}
	return false
}

// receiveUpdates applies the updates of a message and requests the records that it then lacks from the sender.
func (s *State) receiveUpdates(now time.Time, from netip.AddrPort, updates []memberUpdate) {
	for _, u := range updates {
		s.applyUpdate(now, from, u)
	}
	s.sendPull(now, from)
}

// applyUpdate applies an update that is newer than the local state of its member. Members that left stay left.
func (s *State) applyUpdate(now time.Time, from netip.AddrPort, u memberUpdate) {
	if u.ID == s.self.ID {
		s.refute(now, u)
		return
	}
	m, known := s.members[u.ID]
	if !known {
		s.applyUnknown(now, from, u)
		return
	}
	if m.status == statusLeft {
		return
	}
	switch u.Status {
	case statusAlive:
		s.applyAlive(now, from, m, u)
	case statusSuspect:
		s.applySuspect(now, m, u)
	case statusFailed:
		s.applyFailed(now, m, u)
	case statusLeft:
		s.setIncarnation(m, max(m.incarnation, u.Incarnation))
		s.end(now, m, statusLeft)
		s.broadcast(now, m, u.Observer, true)
	}
}

// refute handles an update about this instance. If it claims a suspicion, a failure or a leave, this instance raises
// its incarnation above the claimed one and broadcasts that it is alive.
func (s *State) refute(now time.Time, u memberUpdate) {
	if u.Status == statusAlive || u.Incarnation < s.incarnation || s.left {
		return
	}
	before := s.selfHash()
	s.incarnation = u.Incarnation + 1
	s.updateDigest(s.self.ID, before, s.selfHash())
	s.health.degrade()
	s.stats.Refuted++
	s.emit(Refuted{Incarnation: s.incarnation})
	s.broadcastSelf(now, true)
}

// applyUnknown handles an update of a member that is not known yet. If the member has ended, only a tombstone is
// kept.
func (s *State) applyUnknown(now time.Time, from netip.AddrPort, u memberUpdate) {
	if u.Status == statusFailed || u.Status == statusLeft {
		m := &member{id: u.ID, incarnation: u.Incarnation, status: u.Status, endedAt: now}
		s.members[u.ID] = m
		return
	}
	m := s.addMember(u.ID, u.Incarnation)
	s.requestRecord(from, u.ID, u.Version)
	if u.Status == statusSuspect {
		s.suspect(now, m, u.Observer, false)
	}
}

// applyAlive handles an update of a live member. A suspicion or failure is cleared by a higher incarnation; one that
// only this instance has seen is also cleared by the same incarnation.
func (s *State) applyAlive(now time.Time, from netip.AddrPort, m *member, u memberUpdate) {
	if m.localOnly && u.Incarnation == m.incarnation {
		s.restore(now, m)
	}
	if u.Incarnation > m.incarnation {
		s.setIncarnation(m, u.Incarnation)
		if m.status != statusAlive {
			s.restore(now, m)
		}
		s.broadcast(now, m, 0, true)
	}
	if m.live() && u.Version > m.version {
		s.requestRecord(from, m.id, u.Version)
	}
}

// setIncarnation sets the incarnation of a member and keeps the digest up to date.
func (s *State) setIncarnation(m *member, incarnation uint64) {
	if !m.live() {
		m.incarnation = incarnation
		return
	}
	before := m.hash()
	m.incarnation = incarnation
	s.updateDigest(m.id, before, m.hash())
}

// applySuspect handles an update that suspects a member. It is ignored if the member has a higher incarnation or has
// ended.
func (s *State) applySuspect(now time.Time, m *member, u memberUpdate) {
	if u.Incarnation < m.incarnation || !m.live() {
		return
	}
	if u.Incarnation > m.incarnation {
		s.setIncarnation(m, u.Incarnation)
	}
	s.suspect(now, m, u.Observer, false)
}

// applyFailed handles an update that declares a member failed. It is ignored if the member has a higher incarnation.
func (s *State) applyFailed(now time.Time, m *member, u memberUpdate) {
	if u.Incarnation < m.incarnation {
		return
	}
	m.localOnly = false
	if m.status == statusFailed {
		m.incarnation = u.Incarnation
		return
	}
	s.setIncarnation(m, u.Incarnation)
	s.fail(now, m)
	s.broadcast(now, m, u.Observer, false)
}
