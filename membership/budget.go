package membership

import (
	"time"
)

// tokenBucket is a budget of bytes per second.
type tokenBucket struct {
	rate, burst, level float64
	updatedAt          time.Time
}

// take spends bytes of the budget, if it holds them.
func (b *tokenBucket) take(now time.Time, bytes int) bool { return b.overdraw(now, bytes, 0) }

// overdraw spends bytes that the budget does not hold yet, up to a bound.
func (b *tokenBucket) overdraw(now time.Time, bytes int, bound float64) bool {
	if now.After(b.updatedAt) {
		b.level = min(b.burst, b.level+now.Sub(b.updatedAt).Seconds()*b.rate)
		b.updatedAt = now
	}
	if b.level+bound < float64(bytes) {
		return false
	}
	b.level -= float64(bytes)
	return true
}

// spendGossip takes from the budget of news; urgent news may take of what comes later. Where the budget is spent a
// synchronization stands in for the news.
func (s *State) spendGossip(now time.Time, bytes int, urgent bool) bool {
	ok := urgent && s.gossipBudget.overdraw(now, bytes, s.config.UrgentOverdraft)
	ok = ok || s.gossipBudget.take(now, bytes)
	s.syncNeeded = s.syncNeeded || !ok
	return ok
}
