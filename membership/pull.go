package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// pendingPull is a record that is awaited.
type pendingPull struct {
	version     uint64
	from        netip.AddrPort
	requestedAt time.Time // zero until asked
	attempts    int
}

const maxPullAttempts = 3

// requestRecord notes that a record is needed; flushPull asks for it. Without an address the record comes another way.
func (s *State) requestRecord(from netip.AddrPort, id ID, version uint64) {
	if !from.IsValid() {
		return
	}
	w, ok := s.pendingPulls[id]
	if ok {
		w.version = max(w.version, version)
		return
	}
	if len(s.pendingPulls) < maxPendingPulls {
		s.pendingPulls[id] = &pendingPull{version: version, from: from}
		return
	}
	s.syncNeeded = true
}

// sendPull asks the sender of news for the records that it made this instance want.
func (s *State) sendPull(now time.Time, from netip.AddrPort) {
	if len(s.pendingPulls) == 0 || !from.IsValid() {
		return
	}
	msg := &Message{Kind: kindPull}
	for _, id := range s.pendingPullIDs() {
		w := s.pendingPulls[id]
		if w.from == from && w.requestedAt.IsZero() && len(msg.Want) < maxPullRecords {
			msg.Want = append(msg.Want, id)
		}
	}
	s.pull(now, from, msg)
}

func (s *State) pendingPullIDs() []ID { return slices.Sorted(maps.Keys(s.pendingPulls)) }

// maxPullRecords is how many records one pull asks for.
const maxPullRecords = 16

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

// retryPulls asks others for records that did not come. When that does not help, for example because many records
// changed at once and the budgets are spent, a synchronization follows soon.
func (s *State) retryPulls(now time.Time) {
	if s.syncNeeded {
		s.syncNeeded = false
		s.scheduleEarlySync(now)
	}
	msg := &Message{Kind: kindPull}
	for _, id := range s.pendingPullIDs() {
		w := s.pendingPulls[id]
		if now.Sub(w.requestedAt) < s.config.PullTimeout {
			continue
		}
		if w.attempts >= maxPullAttempts {
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

// receivePull answers with the records, in as many datagrams as they need.
func (s *State) receivePull(now time.Time, from netip.AddrPort, m *Message) {
	out := &Message{Kind: kindRecords}
	for _, id := range m.Want {
		n, raw, ok := s.lookup(id)
		if !ok {
			continue
		}
		size := n.size() + len(raw)
		if size+(&Message{}).size()+len(s.self.ID) > maxDatagramBytes {
			s.send(from, &Message{Kind: kindTooLarge})
			return
		}
		if out.size()+size > maxDatagramBytes-len(s.self.ID) {
			s.sendRecords(now, from, out)
			out = &Message{Kind: kindRecords}
		}
		out.Updates = append(out.Updates, n)
		out.Records = append(out.Records, raw)
	}
	s.sendRecords(now, from, out)
}

func (s *State) sendRecords(now time.Time, to netip.AddrPort, m *Message) {
	if len(m.Records) > 0 && s.spendGossip(now, m.size(), false) {
		s.send(to, m)
	}
}

// lookup returns the record of a live member or of this instance.
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

// receiveRecords takes over records that are newer than the known ones.
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
