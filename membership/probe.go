package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// probe is the probe that is under way.
type probe struct {
	target   *member
	seq      uint64
	sent     time.Time
	timeout  time.Time // then others are asked
	end      time.Time // then the verdict is given
	indirect bool
	asked    int
	nacks    int
	answered bool
}

// relay is a probe made for another instance.
type relay struct {
	origin netip.AddrPort
	seq    uint64
	nackAt time.Time
	end    time.Time
	nacked bool
}

// runProbe drives the probe under way and starts the next.
func (s *State) runProbe(now time.Time) {
	if p := s.probe; p != nil {
		if !p.answered && !p.indirect && !now.Before(p.timeout) {
			s.probeIndirectly(p)
		}
		if !now.Before(p.end) {
			s.judge(now, p)
			s.probe = nil
		}
	}
	if s.probe == nil && !now.Before(s.nextProbe) {
		s.startProbe(now)
	}
}

func (s *State) startProbe(now time.Time) {
	s.nextProbe = now.Add(s.health.widen(s.config.ProbeInterval))
	m := s.nextTarget()
	if m == nil {
		return
	}
	s.seq++
	s.probe = &probe{
		target:  m,
		seq:     s.seq,
		sent:    now,
		timeout: now.Add(s.health.widen(s.config.ProbeTimeout)),
		end:     s.nextProbe,
	}
	s.stats.Probes++
	s.ping(now, m, s.seq)
}

// ping sends a probe; it tells the target first what is said of it, so that it can refute.
func (s *State) ping(now time.Time, m *member, seq uint64) {
	msg := &Message{Kind: kindPing, Seq: seq, Target: m.id}
	if m.status != statusAlive {
		msg.Updates = append(msg.Updates, m.news(s.hash))
	}
	s.fill(now, msg)
	s.send(m.record.Control, msg)
}

// nextTarget walks through all live members in an order that is shuffled anew each time round.
func (s *State) nextTarget() *member {
	for range len(s.order) + 1 {
		if s.orderAt >= len(s.order) {
			s.reshuffle()
		}
		if len(s.order) == 0 {
			return nil
		}
		id := s.order[s.orderAt]
		s.orderAt++
		if m, ok := s.members[id]; ok && m.live() && m.record != nil {
			return m
		}
	}
	return nil
}

func (s *State) reshuffle() {
	s.order = append(s.order[:0], s.alive.ids...)
	s.rand.Shuffle(len(s.order), func(a, b int) { s.order[a], s.order[b] = s.order[b], s.order[a] })
	s.orderAt = 0
}

// probeIndirectly asks others to probe the target of p.
func (s *State) probeIndirectly(p *probe) {
	p.indirect = true
	address, err := p.target.record.Control.MarshalBinary()
	if err != nil {
		return
	}
	for _, m := range s.pick(s.config.IndirectProbes, p.target.id) {
		p.asked++
		s.stats.IndirectProbes++
		s.send(m.record.Control, &Message{Kind: kindPingRequest, Seq: p.seq, Target: p.target.id, Address: address})
	}
}

// judge gives the verdict at the end of a probe.
func (s *State) judge(now time.Time, p *probe) {
	if p.answered {
		return
	}
	s.stats.ProbesFailed++
	if p.asked == 0 || p.nacks < p.asked {
		s.health.worse() // the relays did not answer either, so the fault may be here
	}
	if m := p.target; m.live() {
		s.suspect(now, m, s.hash, s.deaf(now))
	}
}

func (s *State) receivePing(now time.Time, from netip.AddrPort, m *Message) {
	if m.Target != "" && m.Target != s.self.ID {
		s.stats.WrongTarget++ // the answer carries this process's own identity
	}
	ack := &Message{Kind: kindAck, Seq: m.Seq}
	if slices.ContainsFunc(m.Updates, func(n news) bool { return n.ID == s.self.ID }) {
		ack.Updates = append(ack.Updates, s.selfNews()) // the asker suspects this process, so it gets the refutation first
	}
	if known, ok := s.members[m.From]; ok && known.status != statusAlive {
		ack.Updates = append(ack.Updates, known.news(s.hash))
	}
	s.fill(now, ack)
	if !s.answers.take(now, ack.size()) {
		s.stats.AnswersDropped++
		return
	}
	s.send(from, ack)
}

func (s *State) receiveAck(now time.Time, from netip.AddrPort, m *Message) {
	if r, ok := s.relays[m.Seq]; ok {
		delete(s.relays, m.Seq)
		s.send(r.origin, &Message{Kind: kindAck, Seq: r.seq, Target: m.From})
		return
	}
	if s.joining(now, m, from) {
		return
	}
	p := s.probe
	if p == nil || p.seq != m.Seq || p.answered {
		return
	}
	answerer := m.From
	if m.Target != "" {
		answerer = m.Target // told by a relay
	}
	if answerer != p.target.id {
		s.replaced(now, p.target, answerer)
		p.answered = true
		return
	}
	p.answered = true
	late := now.After(p.timeout)
	if !late {
		s.health.better()
	}
}

// replaced handles an answer by another process at the address of a member: the member is not there any more.
func (s *State) replaced(now time.Time, m *member, by ID) {
	s.emit(AddressConflict{ID: m.id, Other: by})
	if m.live() {
		s.suspect(now, m, s.hash, false)
		m.deadline = minTime(m.deadline, now.Add(s.config.SuspicionMin))
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *State) receivePingRequest(now time.Time, from netip.AddrPort, m *Message) {
	target, ok := decodeAddress(m.Address)
	if !ok || len(s.relays) >= maxRelays {
		return
	}
	s.seq++
	s.relays[s.seq] = &relay{
		origin: from,
		seq:    m.Seq,
		nackAt: now.Add(s.config.ProbeTimeout),
		end:    now.Add(s.config.ProbeInterval * time.Duration(s.config.MaxHealthScore+1)),
	}
	s.send(target, &Message{Kind: kindPing, Seq: s.seq, Target: m.Target})
}

func (s *State) receiveNack(m *Message) {
	if p := s.probe; p != nil && p.seq == m.Seq {
		p.nacks++
	}
}

// expireRelays reports probes for others that got no answer yet, and forgets old ones.
func (s *State) expireRelays(now time.Time) {
	for _, seq := range slices.Sorted(maps.Keys(s.relays)) {
		r := s.relays[seq]
		if !now.Before(r.end) {
			delete(s.relays, seq)
			continue
		}
		if !r.nacked && !now.Before(r.nackAt) {
			r.nacked = true
			s.send(r.origin, &Message{Kind: kindNack, Seq: r.seq})
		}
	}
}

// rejoin probes one failed member now and then, so that a healed split is noticed.
func (s *State) rejoin(now time.Time) {
	if now.Before(s.nextRejoin) {
		return
	}
	s.nextRejoin = now.Add(s.jitter(s.config.RejoinInterval))
	if m := s.anyFailed(); m != nil {
		s.seq++
		s.ping(now, m, s.seq)
	}
}
