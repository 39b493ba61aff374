package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// probe is the direct probe in progress, with its indirect probes.
type probe struct {
	target      *member
	seq         uint64
	sent        time.Time
	timeout     time.Time // when indirect probes start
	end         time.Time // when the target becomes suspected
	indirect    bool
	relaysAsked int
	nacks       int
	answered    bool
}

// relayedProbe is an indirect probe that this instance makes for another one.
type relayedProbe struct {
	requester netip.AddrPort
	seq       uint64
	nackAt    time.Time
	end       time.Time
	nacked    bool
}

// runProbe advances the probe in progress and starts the next one when it is due.
func (s *State) runProbe(now time.Time) {
	if p := s.probe; p != nil {
		if !p.answered && !p.indirect && !now.Before(p.timeout) {
			s.probeIndirectly(p)
		}
		if !now.Before(p.end) {
			s.concludeProbe(now, p)
			s.probe = nil
		}
	}
	if s.probe == nil && !now.Before(s.nextProbe) {
		s.startProbe(now)
	}
}

// startProbe sends a direct probe to the next target.
func (s *State) startProbe(now time.Time) {
	s.nextProbe = now.Add(s.health.scale(s.config.ProbeInterval))
	m := s.nextTarget()
	if m == nil {
		return
	}
	s.seq++
	s.probe = &probe{
		target:  m,
		seq:     s.seq,
		sent:    now,
		timeout: now.Add(s.health.scale(s.config.ProbeTimeout)),
		end:     s.nextProbe,
	}
	s.stats.Probes++
	s.ping(now, m, s.seq)
}

// ping sends a probe. If the target is suspected or failed, the message says so first, so that the target can refute
// it.
func (s *State) ping(now time.Time, m *member, seq uint64) {
	msg := &Message{Kind: kindPing, Seq: seq, Target: m.id}
	if m.status != statusAlive {
		msg.Updates = append(msg.Updates, m.update(s.selfIDHash))
	}
	s.piggyback(now, msg)
	s.send(m.record.Control, msg)
}

// nextTarget returns the next live member with a known address. It visits all of them in a random order, which is
// reshuffled in each round.
func (s *State) nextTarget() *member {
	for range len(s.probeOrder) + 1 {
		if s.probeIndex >= len(s.probeOrder) {
			s.reshuffle()
		}
		if len(s.probeOrder) == 0 {
			return nil
		}
		id := s.probeOrder[s.probeIndex]
		s.probeIndex++
		if m, ok := s.members[id]; ok && m.live() && m.record != nil {
			return m
		}
	}
	return nil
}

func (s *State) reshuffle() {
	s.probeOrder = append(s.probeOrder[:0], s.alive.ids...)
	s.rand.Shuffle(len(s.probeOrder), func(a, b int) { s.probeOrder[a], s.probeOrder[b] = s.probeOrder[b], s.probeOrder[a] })
	s.probeIndex = 0
}

// probeIndirectly asks other members to probe the target of p.
func (s *State) probeIndirectly(p *probe) {
	p.indirect = true
	address, err := p.target.record.Control.MarshalBinary()
	if err != nil {
		return
	}
	for _, m := range s.randomMembers(s.config.IndirectProbes, p.target.id) {
		p.relaysAsked++
		s.stats.IndirectProbes++
		s.send(m.record.Control, &Message{Kind: kindPingRequest, Seq: p.seq, Target: p.target.id, Address: address})
	}
}

// concludeProbe suspects the target if it acknowledged the probe neither directly nor through a relay.
func (s *State) concludeProbe(now time.Time, p *probe) {
	if p.answered {
		return
	}
	s.stats.ProbesFailed++
	if p.relaysAsked == 0 || p.nacks < p.relaysAsked {
		s.health.degrade() // a relay did not reply either, so the fault may be local
	}
	if m := p.target; m.live() {
		s.suspect(now, m, s.selfIDHash, s.isolated(now))
	}
}

// receivePing acknowledges a ping, as far as the budget of acknowledgements allows. The first updates are a
// refutation, if the ping carries an update about this process, and the status of the sender, if this instance does
// not consider it alive.
func (s *State) receivePing(now time.Time, from netip.AddrPort, m *Message) {
	if m.Target != "" && m.Target != s.self.ID {
		s.stats.WrongTarget++ // the sender sees from the acknowledgement that another process has the address
	}
	ack := &Message{Kind: kindAck, Seq: m.Seq}
	if slices.ContainsFunc(m.Updates, func(u memberUpdate) bool { return u.ID == s.self.ID }) {
		ack.Updates = append(ack.Updates, s.selfUpdate()) // the sender suspects this process, so the refutation goes first
	}
	if known, ok := s.members[m.From]; ok && known.status != statusAlive {
		ack.Updates = append(ack.Updates, known.update(s.selfIDHash))
	}
	s.piggyback(now, ack)
	if !s.ackBudget.take(now, ack.size()) {
		s.stats.AnswersDropped++
		return
	}
	s.send(from, ack)
}

// receiveAck handles an acknowledgement of a relayed probe, of a ping to a contact or of the probe in progress. Only
// one that arrives before the indirect probes start improves the own health score.
func (s *State) receiveAck(now time.Time, from netip.AddrPort, m *Message) {
	if r, ok := s.relayedProbes[m.Seq]; ok {
		delete(s.relayedProbes, m.Seq)
		s.send(r.requester, &Message{Kind: kindAck, Seq: r.seq, Target: m.From})
		return
	}
	if s.handleJoinAck(now, m, from) {
		return
	}
	p := s.probe
	if p == nil || p.seq != m.Seq || p.answered {
		return
	}
	answerer := m.From
	if m.Target != "" {
		answerer = m.Target // a relay reports the acknowledgement of its target
	}
	if answerer != p.target.id {
		s.handleReplacedMember(now, p.target, answerer)
		p.answered = true
		return
	}
	p.answered = true
	late := now.After(p.timeout)
	if !late {
		s.health.improve()
	}
}

// handleReplacedMember handles an acknowledgement by another process at the address of a member. The member is no
// longer there, so it is suspected with the shortest time to refute.
func (s *State) handleReplacedMember(now time.Time, m *member, by ID) {
	s.emit(AddressConflict{ID: m.id, Other: by})
	if m.live() {
		s.suspect(now, m, s.selfIDHash, false)
		m.deadline = minTime(m.deadline, now.Add(s.config.SuspicionMin))
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// receivePingRequest makes an indirect probe for another instance.
func (s *State) receivePingRequest(now time.Time, from netip.AddrPort, m *Message) {
	target, ok := decodeAddress(m.Address)
	if !ok || len(s.relayedProbes) >= maxRelayedProbes {
		return
	}
	s.seq++
	s.relayedProbes[s.seq] = &relayedProbe{
		requester: from,
		seq:       m.Seq,
		nackAt:    now.Add(s.config.ProbeTimeout),
		end:       now.Add(s.config.ProbeInterval * time.Duration(s.config.MaxHealthScore+1)),
	}
	s.send(target, &Message{Kind: kindPing, Seq: s.seq, Target: m.Target})
}

// receiveNack counts the relays that replied, which shows that this instance can be reached.
func (s *State) receiveNack(m *Message) {
	if p := s.probe; p != nil && p.seq == m.Seq {
		p.nacks++
	}
}

// expireRelays reports relayed probes that are not acknowledged in time to their requesters, and forgets old ones.
func (s *State) expireRelays(now time.Time) {
	for _, seq := range slices.Sorted(maps.Keys(s.relayedProbes)) {
		r := s.relayedProbes[seq]
		if !now.Before(r.end) {
			delete(s.relayedProbes, seq)
			continue
		}
		if !r.nacked && !now.Before(r.nackAt) {
			r.nacked = true
			s.send(r.requester, &Message{Kind: kindNack, Seq: r.seq})
		}
	}
}

// probeFailedMember probes a random failed member every RejoinInterval, so that a healed network partition is
// detected.
func (s *State) probeFailedMember(now time.Time) {
	if now.Before(s.nextRejoin) {
		return
	}
	s.nextRejoin = now.Add(s.jitter(s.config.RejoinInterval))
	if m := s.randomFailed(); m != nil {
		s.seq++
		s.ping(now, m, s.seq)
	}
}
