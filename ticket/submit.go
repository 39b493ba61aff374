package ticket

import (
	"context"

	"amaranthstile/result"
)

// Submit decides on t against the newest state and records it. The state is brought up to date on the way.
// Sent again with the same content, an accepted ticket gives the same record.
//
// When the answer to the write is lost, Submit reads the head and tries again on the same condition: at most one
// of its writes can take effect. TicketOutcomeUnknown says that one still may; every other error says that the
// ticket was not accepted by this call and will not be.
func (l *Log) Submit(ctx context.Context, b Replica, t *Ticket) (Record, error) {
	s := &submission{log: l, state: b, ticket: t}
	record, err := s.run(ctx)
	if err == nil {
		return record, nil
	}
	s.settle()
	if s.open {
		return Record{}, result.Wrap(result.TicketOutcomeUnknown, err, "ticket %d: it is not known yet whether it was accepted; send it again unchanged", t.Number)
	}
	if record, decision := b.Check(t); decision != nil || record.Revision != 0 {
		return record, decision
	}
	return Record{}, err
}

// submission is one call of Submit.
type submission struct {
	log    *Log
	state  Replica
	ticket *Ticket
	stale  int
	// pending is what was announced and is not settled yet, nil for nothing. It stays unsettled while the head has
	// not reached its revision, since another instance may have the same ticket accepted there.
	pending *Entry
	// open says that a write of pending has no known outcome. It can take effect until the head moves on.
	open bool
}

func (s *submission) run(ctx context.Context) (Record, error) {
	for range maxRaces {
		h, err := s.log.Head(ctx)
		if err != nil {
			return Record{}, err
		}
		if err := s.log.CatchUp(ctx, s.state, h); err != nil {
			return Record{}, err
		}
		s.settle()
		record, err := s.state.Check(s.ticket)
		if err != nil || record.Revision != 0 {
			return record, err
		}
		if s.behind(h) {
			if s.stale++; s.stale > maxStale {
				return Record{}, result.New(result.SnapshotMissing, "the platform shows revision %d, in force is %d", h.Revision, s.state.Revision())
			}
			continue
		}
		next, err := s.write(ctx, h)
		switch result.CodeOf(err) {
		case result.OK:
			s.state.Apply(next.Entry)
			return Record{Number: s.ticket.Number, Revision: next.Revision, Digest: s.ticket.Digest()}, nil
		case result.PlatformConflict, result.PlatformOutcomeUnknown:
		default:
			return Record{}, err
		}
	}
	return Record{}, result.New(result.PlatformConflict, "ticket %d lost %d races", s.ticket.Number, maxRaces)
}

// behind reports whether a head is older than what is in force: a write on its condition can't succeed.
func (s *submission) behind(h Head) bool {
	return h.Revision < s.state.Revision()
}

func (s *submission) write(ctx context.Context, h Head) (Head, error) {
	s.pending = &Entry{Revision: h.Revision + 1, Ticket: s.ticket}
	next, err := s.log.Append(ctx, h, *s.pending)
	switch result.CodeOf(err) {
	case result.OK:
		s.pending, s.open = nil, false
	case result.PlatformOutcomeUnknown:
		s.open = true
	}
	return next, err
}

// settle closes an open write once the state has reached its revision: it took effect, and the ticket is on
// record there, or it never will.
func (s *submission) settle() {
	if s.pending == nil || s.state.Revision() < s.pending.Revision {
		return
	}
	r, ok := s.state.Accepted(s.ticket.Number)
	s.tell(ok && r.Revision == s.pending.Revision && r.Digest == s.ticket.Digest())
}

// tell tells the announcer how the pending entry ended.
func (s *submission) tell(accepted bool) {
	if s.log.announce != nil {
		s.log.announce.Resolved(*s.pending, accepted)
	}
	s.pending, s.open = nil, false
}
