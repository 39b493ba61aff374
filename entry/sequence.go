package entry

import (
	"slices"

	"amaranthstile/membership"
	"amaranthstile/result"
)

const (
	// maxSends bounds how often one request is sent over a link, including attempts that were not run.
	maxSends = 16
	// maxNoWaitAttempts is how many endpoints without a free slot a request leaves for another one before its attempts
	// wait for a slot.
	maxNoWaitAttempts = 3
	// maxFailedWaits bounds at how many endpoints one request waits for a slot in vain: if two are overloaded, so are
	// the others, and each further one costs another round trip.
	maxFailedWaits = 2
)

// AttemptSequence decides, for one request, which endpoint each attempt goes to, whether it waits for a slot there, and
// whether an attempt that was not run is followed by another one. It is a plain state machine and not safe for
// concurrent use. The zero value is a request without attempts.
type AttemptSequence struct {
	tried       []membership.Candidate // endpoints that the next attempt leaves out
	busy        []membership.Candidate // endpoints that had no free slot for an attempt that does not wait
	failedWaits int                    // attempts that waited for a slot and got none
	sends       int
}

// Sends returns the number of attempts so far.
func (s *AttemptSequence) Sends() int { return s.sends }

// Next selects the endpoint of the next attempt and reports whether the attempt waits for a slot there. The query needs
// no Tried. ok is false if no endpoint accepts the request.
func (s *AttemptSequence) Next(selector Selector, q Query) (c membership.Candidate, wait, ok bool) {
	if c, wait, ok = s.choose(selector, q); ok {
		s.tried = append(s.tried, c)
		s.sends++
	}
	return c, wait, ok
}

func (s *AttemptSequence) choose(selector Selector, q Query) (c membership.Candidate, wait, ok bool) {
	if len(s.busy) < maxNoWaitAttempts {
		q.Tried = append(slices.Clone(s.tried), s.busy...)
		if c, ok = selector.Select(q); ok || len(s.busy) == 0 {
			return c, false, ok
		}
	}
	q.Tried = s.tried
	c, ok = selector.Select(q)
	return c, true, ok
}

// Refused records that an attempt was not run, and reports whether the request may be sent to another endpoint. waited
// is what Next reported for the attempt.
func (s *AttemptSequence) Refused(c membership.Candidate, waited bool, code result.Code) (again bool) {
	switch code {
	case result.BackendBusy, result.QueueFull:
		if waited {
			s.failedWaits++
		} else if code == result.BackendBusy {
			s.noteBusy(c)
		}
		if s.failedWaits >= maxFailedWaits {
			return false
		}
	case result.NoStanding, result.KeyRejected, result.KeyMissing, result.RetryBudgetSpent:
		return false
	}
	return s.sends < maxSends
}

// IsLastWait reports whether the next attempt that waits for a slot is the last one.
func (s *AttemptSequence) IsLastWait() bool { return s.failedWaits == maxFailedWaits-1 }

// noteBusy records that an endpoint had no free slot for an attempt that does not wait. The endpoint is no longer among
// the tried ones, so that a later attempt that waits may choose it again.
func (s *AttemptSequence) noteBusy(c membership.Candidate) {
	s.allowAgain(c)
	s.busy = append(s.busy, c)
}

// allowAgain removes an endpoint from the tried ones.
func (s *AttemptSequence) allowAgain(c membership.Candidate) {
	s.tried = slices.DeleteFunc(s.tried, func(x membership.Candidate) bool {
		return x.Instance.ID == c.Instance.ID && x.Backend == c.Backend
	})
}
