package membership

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"
)

// item is one news on its way through the fleet.
type item struct {
	news   news
	urgent bool
	sends  int
	seq    uint64
}

// retransmits is how often one news is sent by each instance.
func (s *State) retransmits() int {
	return s.config.RetransmitFactor * int(math.Ceil(math.Log10(float64(len(s.alive.ids)+2))))
}

// urgentFactor is how many times more often urgent news is sent: nobody may miss it until a view is compared.
const urgentFactor = 2

// announce queues the news of a member; it replaces older news of it.
func (s *State) announce(now time.Time, m *member, by uint32, urgent bool) {
	if s.silent {
		return
	}
	s.enqueue(now, m.news(by), urgent)
}

func (s *State) selfNews() news {
	n := news{ID: s.self.ID, Incarnation: s.incarnation, Version: s.self.Version, Status: statusAlive}
	if s.left {
		n.Status = statusLeft
	}
	return n
}

func (s *State) announceSelf(now time.Time, urgent bool) {
	s.enqueue(now, s.selfNews(), urgent)
	if urgent {
		s.spreadTo(now, s.config.UrgentFanout)
	}
}

func (s *State) enqueue(now time.Time, n news, urgent bool) {
	s.queueSeq++
	if old, ok := s.queue[n.ID]; ok && old.urgent && old.sends == 0 {
		urgent = true
	}
	s.queue[n.ID] = &item{news: n, urgent: urgent, seq: s.queueSeq}
	if s.nextSpread.Before(now) {
		s.nextSpread = now.Add(time.Duration(s.rand.Int64N(int64(s.config.GossipInterval))))
	}
}

// ordered returns the queue: urgent news first, then what was sent least.
func (s *State) ordered() []*item {
	out := make([]*item, 0, len(s.queue))
	for _, i := range s.queue {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b *item) int {
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

// fill adds news to a message within the datagram and the budget.
func (s *State) fill(now time.Time, m *Message) {
	if len(s.queue) == 0 {
		return
	}
	room := maxDatagramBytes - m.size()
	limit := s.retransmits()
	for _, i := range s.ordered() {
		size := i.news.size()
		if size > room || len(m.Updates) >= maxNews || !s.spend(now, size, i.urgent) {
			return
		}
		room -= size
		m.Updates = append(m.Updates, i.news)
		i.sends++
		if i.sends >= limit && (!i.urgent || i.sends >= urgentFactor*limit) {
			delete(s.queue, i.news.ID)
		}
	}
}

// runSpread sends a round of news while there is any.
func (s *State) runSpread(now time.Time) {
	if now.Before(s.nextSpread) || (len(s.queue) == 0 && s.revisionSends == 0) {
		return
	}
	s.nextSpread = now.Add(s.config.GossipInterval)
	s.spreadTo(now, s.config.GossipFanout)
}

func (s *State) spreadTo(now time.Time, fanout int) {
	for _, m := range s.pick(fanout, "") {
		msg := &Message{Kind: kindSpread}
		if !s.spend(now, msg.size(), s.hasUrgent()) {
			return
		}
		s.fill(now, msg)
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

// receiveNews takes over what is newer than what is known.
func (s *State) receiveNews(now time.Time, from netip.AddrPort, list []news) {
	for _, n := range list {
		s.receiveOne(now, from, n)
	}
	s.flushPull(now, from)
}

func (s *State) receiveOne(now time.Time, from netip.AddrPort, n news) {
	if n.ID == s.self.ID {
		s.refute(now, n)
		return
	}
	m, known := s.members[n.ID]
	if !known {
		s.receiveUnknown(now, from, n)
		return
	}
	if m.status == statusLeft {
		return
	}
	switch n.Status {
	case statusAlive:
		s.receiveAlive(now, from, m, n)
	case statusSuspect:
		s.receiveSuspect(now, m, n)
	case statusFailed:
		s.receiveFailed(now, m, n)
	case statusLeft:
		s.setIncarnation(m, max(m.incarnation, n.Incarnation))
		s.end(now, m, statusLeft)
		s.announce(now, m, n.By, true)
	}
}

// refute answers what is said of this process.
func (s *State) refute(now time.Time, n news) {
	if n.Status == statusAlive || n.Incarnation < s.incarnation || s.left {
		return
	}
	before := s.selfHash()
	s.incarnation = n.Incarnation + 1
	s.updateDigest(s.self.ID, before, s.selfHash())
	s.health.worse()
	s.stats.Refuted++
	s.emit(Refuted{Incarnation: s.incarnation})
	s.announceSelf(now, true)
}

func (s *State) receiveUnknown(now time.Time, from netip.AddrPort, n news) {
	if n.Status == statusFailed || n.Status == statusLeft {
		m := &member{id: n.ID, incarnation: n.Incarnation, status: n.Status, endedAt: now}
		s.members[n.ID] = m
		return
	}
	m := s.add(n.ID, n.Incarnation)
	s.want(from, n.ID, n.Version)
	if n.Status == statusSuspect {
		s.suspect(now, m, n.By, false)
	}
}

func (s *State) receiveAlive(now time.Time, from netip.AddrPort, m *member, n news) {
	if m.local && n.Incarnation == m.incarnation {
		s.restore(now, m)
	}
	if n.Incarnation > m.incarnation {
		s.setIncarnation(m, n.Incarnation)
		if m.status != statusAlive {
			s.restore(now, m)
		}
		s.announce(now, m, 0, true)
	}
	if m.live() && n.Version > m.version {
		s.want(from, m.id, n.Version)
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

func (s *State) receiveSuspect(now time.Time, m *member, n news) {
	if n.Incarnation < m.incarnation || !m.live() {
		return
	}
	if n.Incarnation > m.incarnation {
		s.setIncarnation(m, n.Incarnation)
	}
	s.suspect(now, m, n.By, false)
}

func (s *State) receiveFailed(now time.Time, m *member, n news) {
	if n.Incarnation < m.incarnation {
		return
	}
	m.local = false
	if m.status == statusFailed {
		m.incarnation = n.Incarnation
		return
	}
	s.setIncarnation(m, n.Incarnation)
	s.fail(now, m)
	s.announce(now, m, n.By, false)
}
