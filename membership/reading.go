package membership

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// Reading is the statement that the store held nothing newer, at a time, than what the instance knows that read it: no
// later revision than Revision, or what StateHash stands for. The receiver passes it on to the instances of its failure domain
// whose IDs lie between From and To, both included; without To, it passes it on to none.
type Reading struct {
	// At is the time of day at the instance that read the store, right before it did.
	At       time.Time
	Revision uint64
	// StateHash is a hash of what the instance knows of something else than the configuration; 0 in a reading of that.
	StateHash uint64
	From, To  ID
}

// stateHashBytes is the size of an encoded StateHash.
const stateHashBytes = 8

// ReadingTo is a reading that is to be sent to an instance.
type ReadingTo struct {
	Address netip.AddrPort
	Reading Reading
}

// SendReadings sends readings, as far as their budget allows, with the revision in force at this instance.
func (s *State) SendReadings(now time.Time, readings []ReadingTo) []Action {
	for _, r := range readings {
		m := &Message{Kind: kindReading, From: s.self.ID, Seq: uint64(r.Reading.At.UnixMilli())}
		if r.Reading.StateHash != 0 {
			m.Address = binary.BigEndian.AppendUint64(nil, r.Reading.StateHash)
		}
		if r.Reading.To != "" {
			m.Want = []ID{r.Reading.From, r.Reading.To}
		}
		if s.readingBudget.take(now, m.size()) {
			s.send(r.Address, m)
		}
	}
	return s.takeActions()
}

// receiveReading reports the reading in a message.
func (s *State) receiveReading(from netip.AddrPort, m *Message) {
	r := Reading{At: time.UnixMilli(int64(m.Seq)), Revision: m.Revision}
	if len(m.Address) > 0 {
		r.StateHash = binary.BigEndian.Uint64(m.Address)
	}
	if len(m.Want) > 0 {
		r.From, r.To = m.Want[0], m.Want[1]
	}
	s.emit(ReadingReceived{Sender: from, Reading: r})
}

// validReading checks the encoding of a reading.
func validReading(m *Message) bool {
	validRange := len(m.Want) == 0 || len(m.Want) == 2 && validID(m.Want[0]) && validID(m.Want[1])
	return validRange && (len(m.Address) == 0 || len(m.Address) == stateHashBytes) && m.Seq <= maxReadingMillis
}
