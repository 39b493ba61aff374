// Package wait provides delays and backoff for background work.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for the duration d, or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Backoff is an exponential backoff with jitter, for the delays between failed calls.
type Backoff struct {
	// Min and Max are the shortest and the longest mean delay.
	Min, Max time.Duration
	next     time.Duration
}

// Wait doubles the mean delay and then waits for a random time between half and one and a half of it, or until ctx is
// done.
func (b *Backoff) Wait(ctx context.Context) {
	b.next = min(max(2*b.next, b.Min), b.Max)
	Sleep(ctx, b.next/2+rand.N(b.next))
}

// Reset makes the next delay the shortest one again.
func (b *Backoff) Reset() { b.next = 0 }
