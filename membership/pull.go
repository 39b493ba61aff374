package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// pendingPull is a record that this instance needs and may have requested.
type pendingPull struct {
	version     uint64
	from        netip.AddrPort
	requestedAt time.Time // zero until requested
	attempts    int
}

// maxPullAttempts is how many times a record is requested before synchronization has to bring it.
const maxPullAttempts = 3

// requestRecord notes that the record of a member is needed; sendPull requests it from the given address. An update
// without a valid address came by synchronization, which brings the record itself.
func (s *State) requestRecord(from netip.AddrPort, id ID, version uint64) {
	if !from.IsValid() {
		return
	}
	p, ok := s.pendingPulls[id]
	if ok {
		p.version = max(p.version, version)
		return
	}
	if len(s.pendingPulls) < maxPendingPulls {
		s.pendingPulls[id] = &pendingPull{version: version, from: from}
		return
	}
	s.syncNeeded = true
}

// sendPull requests from the sender of a message the records that its updates made necessary.
func (s *State) sendPull(now time.Time, from netip.AddrPort) {
	if len(s.pendingPulls) == 0 || !from.IsValid() {
		return
	}
	msg := &Message{Kind: kindPull}
	for _, id := range s.pendingPullIDs() {
		p := s.pendingPulls[id]
		if p.from == from && p.requestedAt.IsZero() && len(msg.Want) < maxPullRecords {
			msg.Want = append(msg.Want, id)
		}
	}
	s.pull(now, from, msg)
}

// pendingPullIDs returns the IDs of the needed records in a fixed order.
func (s *State) pendingPullIDs() []ID { return slices.Sorted(maps.Keys(s.pendingPulls)) }

// maxPullRecords is how many records one pull requests.
const maxPullRecords = 16

// pull sends a pull and counts an attempt for each requested record, if the gossip budget allows.
func (s *State) pull(now time.Time, to netip.AddrPort, msg *Message) {
	if len(msg.Want) == 0 || !s.spendGossip(now, msg.size(), false) {
		return
	}
	for _, id := range msg.Want {
		s.pendingPulls[id].requestedAt = now
		s.pendingPulls[id].attempts++
	}
	s.send(to, msg)
}

// retryPulls requests overdue records from a random member. If that does not help, for example because many records
// changed at once and the budgets are exhausted, an early synchronization is scheduled.
func (s *State) retryPulls(now time.Time) {
	if s.syncNeeded {
		s.syncNeeded = false
		s.scheduleEarlySync(now)
	}
	msg := &Message{Kind: kindPull}
	for _, id := range s.pendingPullIDs() {
		p := s.pendingPulls[id]
		if now.Sub(p.requestedAt) < s.config.PullTimeout {
			continue
		}
		if p.attempts >= maxPullAttempts {
			delete(s.pendingPulls, id)
			s.syncNeeded = true
			continue
		}
		if len(msg.Want) < maxPullRecords {
			msg.Want = append(msg.Want, id)
		}
	}
	for _, m := range s.randomMembers(1, "") {
		s.pull(now, m.record.Control, msg)
	}
}

// receivePull answers with the requested records in as many datagrams as necessary.
func (s *State) receivePull(now time.Time, from netip.AddrPort, m *Message) {
	reply := &Message{Kind: kindRecords}
	for _, id := range m.Want {
		update, raw, ok := s.lookup(id)
		if !ok {
			continue
		}
		size := update.size() + len(raw)
		if size+(&Message{}).size()+len(s.self.ID) > maxDatagramBytes {
			s.send(from, &Message{Kind: kindTooLarge})
			return
		}
		if reply.size()+size > maxDatagramBytes-len(s.self.ID) {
			s.sendRecords(now, from, reply)
			reply = &Message{Kind: kindRecords}
		}
		reply.Updates = append(reply.Updates, update)
		reply.Records = append(reply.Records, raw)
	}
	s.sendRecords(now, from, reply)
}

// sendRecords sends a message with records, if it has any and the gossip budget allows.
func (s *State) sendRecords(now time.Time, to netip.AddrPort, m *Message) {
	if len(m.Records) > 0 && s.spendGossip(now, m.size(), false) {
		s.send(to, m)
	}
}

// lookup returns the update and the encoded record of a live member or of this instance.
func (s *State) lookup(id ID) (memberUpdate, cbor.RawMessage, bool) {
	if id == s.self.ID {
		return s.selfUpdate(), s.selfRaw, !s.left
	}
	m, ok := s.members[id]
	if !ok || !m.live() || m.raw == nil {
		return memberUpdate{}, nil, false
	}
	return m.update(s.selfIDHash), m.raw, true
}

// receiveRecords stores records of live members that are newer than the local ones.
func (s *State) receiveRecords(now time.Time, list []cbor.RawMessage) {
	for _, raw := range list {
		r, err := decodeRecord(raw)
		if err != nil {
			s.stats.RecordsRefused++
			continue
		}
		m, ok := s.members[r.ID]
		if r.ID == s.self.ID || !ok || !m.live() || r.Version <= m.version {
			continue
		}
		s.setRecord(now, m, r, raw)
	}
}
