package membership

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

// queuedUpdate is one news on its way through the fleet.
type queuedUpdate struct {
	update memberUpdate
	urgent bool
	sends  int
	seq    uint64
}

// retransmitLimit is how often one news is sent by each instance.
func (s *State) retransmitLimit() int {
	return s.config.RetransmitFactor * int(math.Ceil(math.Log10(float64(len(s.alive.ids)+2))))
}

// urgentFactor is how many times more often urgent news is sent: nobody may miss it until a view is compared.
const urgentFactor = 2

// broadcast queues the news of a member; it replaces older news of it.
func (s *State) broadcast(now time.Time, m *member, by uint32, urgent bool) {
	if s.suppressBroadcasts {
		return
	}
	s.enqueue(now, m.update(by), urgent)
}

func (s *State) selfUpdate() memberUpdate {
	n := memberUpdate{ID: s.self.ID, Incarnation: s.incarnation, Version: s.self.Version, Status: statusAlive}
	if s.left {
		n.Status = statusLeft
	}
	return n
}

func (s *State) broadcastSelf(now time.Time, urgent bool) {
	s.enqueue(now, s.selfUpdate(), urgent)
	if urgent {
		s.gossipTo(now, s.config.UrgentFanout)
	}
}

func (s *State) enqueue(now time.Time, n memberUpdate, urgent bool) {
	s.lastQueueSeq++
	if old, ok := s.queue[n.ID]; ok && old.urgent && old.sends == 0 {
		urgent = true
	}
	s.queue[n.ID] = &queuedUpdate{update: n, urgent: urgent, seq: s.lastQueueSeq}
	if s.nextGossip.Before(now) {
		s.nextGossip = now.Add(time.Duration(s.rand.Int64N(int64(s.config.GossipInterval))))
	}
}

// orderedQueue returns the queue: urgent news first, then what was sent least.
func (s *State) orderedQueue() []*queuedUpdate {
	out := make([]*queuedUpdate, 0, len(s.queue))
	for _, i := range s.queue {
		out = append(out, i)
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

// piggyback adds news to a message within the datagram and the budget.
func (s *State) piggyback(now time.Time, m *Message) {
	if len(s.queue) == 0 {
		return
	}
	room := maxDatagramBytes - m.size()
	limit := s.retransmitLimit()
	for _, i := range s.orderedQueue() {
		size := i.update.size()
		if size > room || len(m.Updates) >= maxUpdates || !s.spendGossip(now, size, i.urgent) {
			return
		}
		room -= size
		m.Updates = append(m.Updates, i.update)
		i.sends++
		if i.sends >= limit && (!i.urgent || i.sends >= urgentFactor*limit) {
			delete(s.queue, i.update.ID)
		}
	}
}

// runGossip sends a round of news while there is any.
func (s *State) runGossip(now time.Time) {
	if now.Before(s.nextGossip) || (len(s.queue) == 0 && s.revisionSends == 0) {
		return
	}
	s.nextGossip = now.Add(s.config.GossipInterval)
	s.gossipTo(now, s.config.GossipFanout)
}

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

// hasUrgent reports whether something waits that goes ahead: urgent news or a later ticket revision.
func (s *State) hasUrgent() bool {
	if s.revisionSends > 0 {
		return true
	}
	for _, i := range s.queue {
		if i.urgent {
			return true
		}
	}
	return false
}

// receiveUpdates takes over what is newer than what is known.
func (s *State) receiveUpdates(now time.Time, from netip.AddrPort, list []memberUpdate) {
	for _, n := range list {
		s.applyUpdate(now, from, n)
	}
	s.sendPull(now, from)
}

func (s *State) applyUpdate(now time.Time, from netip.AddrPort, n memberUpdate) {
	if n.ID == s.self.ID {
		s.refute(now, n)
		return
	}
	m, known := s.members[n.ID]
	if !known {
		s.applyUnknown(now, from, n)
		return
	}
	if m.status == statusLeft {
		return
	}
	switch n.Status {
	case statusAlive:
		s.applyAlive(now, from, m, n)
	case statusSuspect:
		s.applySuspect(now, m, n)
	case statusFailed:
		s.applyFailed(now, m, n)
	case statusLeft:
		s.setIncarnation(m, max(m.incarnation, n.Incarnation))
		s.end(now, m, statusLeft)
		s.broadcast(now, m, n.Observer, true)
	}
}

// refute answers what is said of this process.
func (s *State) refute(now time.Time, n memberUpdate) {
	if n.Status == statusAlive || n.Incarnation < s.incarnation || s.left {
		return
	}
	before := s.selfHash()
	s.incarnation = n.Incarnation + 1
	s.updateDigest(s.self.ID, before, s.selfHash())
	s.health.degrade()
	s.stats.Refuted++
	s.emit(Refuted{Incarnation: s.incarnation})
	s.broadcastSelf(now, true)
}

func (s *State) applyUnknown(now time.Time, from netip.AddrPort, n memberUpdate) {
	if n.Status == statusFailed || n.Status == statusLeft {
		m := &member{id: n.ID, incarnation: n.Incarnation, status: n.Status, endedAt: now}
		s.members[n.ID] = m
		return
	}
	m := s.addMember(n.ID, n.Incarnation)
	s.requestRecord(from, n.ID, n.Version)
	if n.Status == statusSuspect {
		s.suspect(now, m, n.Observer, false)
	}
}

func (s *State) applyAlive(now time.Time, from netip.AddrPort, m *member, n memberUpdate) {
	if m.localOnly && n.Incarnation == m.incarnation {
		s.restore(now, m)
	}
	if n.Incarnation > m.incarnation {
		s.setIncarnation(m, n.Incarnation)
		if m.status != statusAlive {
			s.restore(now, m)
		}
		s.broadcast(now, m, 0, true)
	}
	if m.live() && n.Version > m.version {
		s.requestRecord(from, m.id, n.Version)
	}
}

func (s *State) setIncarnation(m *member, incarnation uint64) {
	if !m.live() {
		m.incarnation = incarnation
		return
	}
	before := m.hash()
	m.incarnation = incarnation
	s.updateDigest(m.id, before, m.hash())
}

func (s *State) applySuspect(now time.Time, m *member, n memberUpdate) {
	if n.Incarnation < m.incarnation || !m.live() {
		return
	}
	if n.Incarnation > m.incarnation {
		s.setIncarnation(m, n.Incarnation)
	}
	s.suspect(now, m, n.Observer, false)
}

func (s *State) applyFailed(now time.Time, m *member, n memberUpdate) {
	if n.Incarnation < m.incarnation {
		return
	}
	m.localOnly = false
	if m.status == statusFailed {
		m.incarnation = n.Incarnation
		return
	}
	s.setIncarnation(m, n.Incarnation)
	s.fail(now, m)
	s.broadcast(now, m, n.Observer, false)
}
