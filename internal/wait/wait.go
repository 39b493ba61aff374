// Package wait holds the waits of background work.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Backoff is a growing pause with jitter between failed calls.
type Backoff struct {
	// Min and Max are the shortest and the longest mean pause.
	Min, Max time.Duration
	next     time.Duration
}

// Wait waits for half to one and a half of the present pause, which doubles, or until ctx ends.
func (p *Backoff) Wait(ctx context.Context) {
	p.next = min(max(2*p.next, p.Min), p.Max)
	Sleep(ctx, p.next/2+rand.N(p.next))
}

// Reset starts again with the shortest pause.
func (p *Backoff) Reset() { p.next = 0 }
