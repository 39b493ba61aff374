package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// want is a record that is awaited.
type want struct {
	version uint64
	from    netip.AddrPort
	askedAt time.Time // zero until asked
	tries   int
}

const maxPullTries = 3

// want notes that a record is needed; flushPull asks for it. Without an address the record comes another way.
func (s *State) want(from netip.AddrPort, id ID, version uint64) {
	if !from.IsValid() {
		return
	}
	w, ok := s.wanted[id]
	if ok {
		w.version = max(w.version, version)
		return
	}
	if len(s.wanted) < maxWanted {
		s.wanted[id] = &want{version: version, from: from}
		return
	}
	s.syncNeeded = true
}

// flushPull asks the sender of news for the records that it made this instance want.
func (s *State) flushPull(now time.Time, from netip.AddrPort) {
	if len(s.wanted) == 0 || !from.IsValid() {
		return
	}
	msg := &Message{Kind: kindPull}
	for _, id := range s.wantedIDs() {
		w := s.wanted[id]
		if w.from == from && w.askedAt.IsZero() && len(msg.Want) < maxPull {
			msg.Want = append(msg.Want, id)
		}
	}
	s.pull(now, from, msg)
}

func (s *State) wantedIDs() []ID { return slices.Sorted(maps.Keys(s.wanted)) }

// maxPull is how many records one pull asks for.
const maxPull = 16

func (s *State) pull(now time.Time, to netip.AddrPort, msg *Message) {
	if len(msg.Want) == 0 || !s.spend(now, msg.size(), false) {
		return
	}
	for _, id := range msg.Want {
		s.wanted[id].askedAt = now
		s.wanted[id].tries++
	}
	s.send(to, msg)
}

// retryWanted asks others for records that did not come. When that does not help, for example because many records
// changed at once and the budgets are spent, a synchronization follows soon.
func (s *State) retryWanted(now time.Time) {
	if s.syncNeeded {
		s.syncNeeded = false
		s.syncSoon(now)
	}
	msg := &Message{Kind: kindPull}
	for _, id := range s.wantedIDs() {
		w := s.wanted[id]
		if now.Sub(w.askedAt) < s.config.PullTimeout {
			continue
		}
		if w.tries >= maxPullTries {
			delete(s.wanted, id)
			s.syncNeeded = true
			continue
		}
		if len(msg.Want) < maxPull {
			msg.Want = append(msg.Want, id)
		}
	}
	for _, m := range s.pick(1, "") {
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
	if len(m.Records) > 0 && s.spend(now, m.size(), false) {
		s.send(to, m)
	}
}

// lookup returns the record of a live member or of this instance.
func (s *State) lookup(id ID) (news, cbor.RawMessage, bool) {
	if id == s.self.ID {
		return s.selfNews(), s.selfRaw, !s.left
	}
	m, ok := s.members[id]
	if !ok || !m.live() || m.raw == nil {
		return news{}, nil, false
	}
	return m.news(s.hash), m.raw, true
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
