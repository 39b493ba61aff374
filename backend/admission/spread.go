package admission

import "time"

// maxRetryAfter is the longest delay after which a refused request may be retried, so that a lifted limit is noticed.
const maxRetryAfter = 2 * time.Second

// retrySpread spreads the delays after which refused requests may be retried over the requests that will be admitted. The
// zero value has reserved nothing.
type retrySpread struct {
	// reservedUntil is the time at which the last refused request was told to retry.
	reservedUntil time.Time
}

// next returns the delay for one more refused request, where the earliest one may be admitted at a time and further ones
// at an interval. Beyond maxRetryAfter, the reservations begin anew.
func (s *retrySpread) next(now, earliest time.Time, interval time.Duration) time.Duration {
	if later := s.reservedUntil.Add(interval); later.After(earliest) && later.Sub(now) <= maxRetryAfter {
		earliest = later
	}
	s.reservedUntil = earliest
	return earliest.Sub(now)
}
