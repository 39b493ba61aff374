package membership

import (
	"net/netip"
	"time"
)

// Reading is the statement that the store held no later revision than Revision at a time. The receiver passes it on to
// the instances of its failure domain whose IDs lie between From and To, both included; without To, it passes it on to
// none.
type Reading struct {
	// At is the time of day at the instance that read the store, right before it did.
	At       time.Time
	Revision uint64
	From, To ID
}

// ReadingTo is a reading that is to be sent to an instance.
type ReadingTo struct {
	Address netip.AddrPort
	Reading Reading
}

// SendReadings sends readings, as far as their budget allows, with the revision in force at this instance.
func (s *State) SendReadings(now time.Time, readings []ReadingTo) []Action {
	for _, r := range readings {
		m := &Message{Kind: kindReading, From: s.self.ID, Seq: uint64(r.Reading.At.UnixMilli())}
		if r.Reading.To != "" {
			m.Want = []ID{r.Reading.From, r.Reading.To}
		}
		if !s.readingBudget.take(now, m.size()) {
			s.stats.ReadingsDropped++
			continue
		}
		s.send(r.Address, m)
	}
	return s.takeActions()
}

// receiveReading reports the reading in a message.
func (s *State) receiveReading(m *Message) {
	r := Reading{At: time.UnixMilli(int64(m.Seq)), Revision: m.Revision}
	if len(m.Want) > 0 {
		r.From, r.To = m.Want[0], m.Want[1]
	}
	s.emit(ReadingReceived{Reading: r})
}
