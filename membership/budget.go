package membership

import (
	"time"
)

// tokenBucket is a token bucket that counts bytes; rate is in bytes per second.
type tokenBucket struct {
	rate, burst, level float64
	updatedAt          time.Time
}

// take removes bytes from the bucket and reports whether it held enough.
func (b *tokenBucket) take(now time.Time, bytes int) bool { return b.overdraw(now, bytes, 0) }

// overdraw removes bytes from the bucket, whose level may fall to -bound, and reports whether that sufficed.
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

// spendGossip reports whether a message of the given size fits the gossip budget, and takes its bytes. Urgent updates
// may overdraw the budget. When the budget is exhausted, an early synchronization carries the updates instead.
func (s *State) spendGossip(now time.Time, bytes int, urgent bool) bool {
	ok := urgent && s.gossipBudget.overdraw(now, bytes, s.config.UrgentOverdraft)
	ok = ok || s.gossipBudget.take(now, bytes)
	s.syncNeeded = s.syncNeeded || !ok
	return ok
}
