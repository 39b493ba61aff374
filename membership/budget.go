package membership

import (
	"time"
)

// bucket is a budget of bytes per second.
type bucket struct {
	rate, burst, level float64
	at                 time.Time
}

// take spends bytes of the budget, if it holds them.
func (b *bucket) take(now time.Time, bytes int) bool { return b.overdraw(now, bytes, 0) }

// overdraw spends bytes that the budget does not hold yet, up to a bound.
func (b *bucket) overdraw(now time.Time, bytes int, bound float64) bool {
	if now.After(b.at) {
		b.level = min(b.burst, b.level+now.Sub(b.at).Seconds()*b.rate)
		b.at = now
	}
	if b.level+bound < float64(bytes) {
		return false
	}
	b.level -= float64(bytes)
	return true
}

// spend takes from the budget of news; urgent news may take of what comes later. Where the budget is spent a
// synchronization stands in for the news.
func (s *State) spend(now time.Time, bytes int, urgent bool) bool {
	ok := urgent && s.spread.overdraw(now, bytes, s.config.UrgentOverdraft)
	ok = ok || s.spread.take(now, bytes)
	s.syncNeeded = s.syncNeeded || !ok
	return ok
}
