package ticket

import (
	"context"

	"amaranthstile/result"
)

// Submit checks t against the newest configuration and writes it if it may be accepted. It brings the replica up to
// date as it does so. Submit is idempotent: an accepted ticket that is submitted again with the same content gets the
// same record.
//
// When the response to the write is lost, Submit reads the head and retries on the same condition, so that at most one
// of its writes can take effect. The error TicketOutcomeUnknown means that one of them still may; every other error
// means that the ticket was not accepted by this call and will not be.
func (l *Log) Submit(ctx context.Context, replica Replica, t *Ticket) (Record, error) {
	s := &submission{log: l, replica: replica, ticket: t}
	record, err := s.run(ctx)
	if err == nil {
		return record, nil
	}
	s.resolvePending()
	if s.outcomeUnknown {
		return Record{}, result.Wrap(result.TicketOutcomeUnknown, err, "ticket %d: it is not yet known whether it was accepted; submit it again unchanged", t.Number)
	}
	if record, decision := replica.Check(t); decision != nil || record.Revision != 0 {
		return record, decision
	}
	return Record{}, err
}

// submission is one call of Submit.
type submission struct {
	log        *Log
	replica    Replica
	ticket     *Ticket
	staleHeads int
	// pending is the entry that was announced and whose outcome has not been reported yet, or nil. Its outcome stays
	// open until the head reaches its revision, since another instance may get the same ticket accepted there.
	pending *Entry
	// outcomeUnknown is set while a write of pending has no known outcome. The write can take effect until the head is
	// replaced.
	outcomeUnknown bool
}

func (s *submission) run(ctx context.Context) (Record, error) {
	for range maxConflicts {
		h, err := s.log.Head(ctx)
		if err != nil {
			return Record{}, err
		}
		if err := s.log.CatchUp(ctx, s.replica, h); err != nil {
			return Record{}, err
		}
		s.resolvePending()
		record, err := s.replica.Check(s.ticket)
		if err != nil || record.Revision != 0 {
			return record, err
		}
		if s.isStale(h) {
			if s.staleHeads++; s.staleHeads > maxStaleHeads {
				return Record{}, result.New(result.SnapshotMissing, "the platform returned revision %d, but revision %d is in force", h.Revision, s.replica.Revision())
			}
			continue
		}
		next, err := s.write(ctx, h)
		switch result.CodeOf(err) {
		case result.OK:
			s.replica.Apply(next.Entry)
			return Record{Number: s.ticket.Number, Revision: next.Revision, Digest: s.ticket.Digest()}, nil
		case result.PlatformConflict, result.PlatformOutcomeUnknown:
		default:
			return Record{}, err
		}
	}
	return Record{}, result.New(result.PlatformConflict, "ticket %d: other changes were accepted first in %d attempts", s.ticket.Number, maxConflicts)
}

// isStale reports whether a head is older than the configuration in force, so that a write on its condition can't
// succeed.
func (s *submission) isStale(h Head) bool {
	return h.Revision < s.replica.Revision()
}

func (s *submission) write(ctx context.Context, h Head) (Head, error) {
	s.pending = &Entry{Revision: h.Revision + 1, Ticket: s.ticket}
	next, err := s.log.Append(ctx, h, *s.pending)
	switch result.CodeOf(err) {
	case result.OK:
		s.pending, s.outcomeUnknown = nil, false
	case result.PlatformOutcomeUnknown:
		s.outcomeUnknown = true
	}
	return next, err
}

// resolvePending resolves the pending entry once the replica has reached its revision: either the ticket is on record
// at that revision, or the write never takes effect.
func (s *submission) resolvePending() {
	if s.pending == nil || s.replica.Revision() < s.pending.Revision {
		return
	}
	r, ok := s.replica.Accepted(s.ticket.Number)
	s.resolve(ok && r.Revision == s.pending.Revision && r.Digest == s.ticket.Digest())
}

// resolve reports the outcome of the pending entry to the announcer.
func (s *submission) resolve(accepted bool) {
	if s.log.announcer != nil {
		s.log.announcer.Resolved(*s.pending, accepted)
	}
	s.pending, s.outcomeUnknown = nil, false
}
