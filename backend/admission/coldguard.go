package admission

import (
	"sync"
	"time"
)

// ColdGuard makes a ColdServer safe for concurrent use. The gates of successive processes of a backend server share it:
// requests that wait at an earlier one may reach the present process.
type ColdGuard struct {
	bound func() ColdBound
	mu    sync.Mutex
	cold  ColdServer // guarded by mu
}

// NewColdGuard returns a guard; started is when this instance started, and bound returns the bound in force.
func NewColdGuard(started time.Time, bound func() ColdBound) *ColdGuard {
	return &ColdGuard{bound: bound, cold: NewColdServer(started)}
}

// Update changes what is known of the backend server.
func (g *ColdGuard) Update(change func(c *ColdServer)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.cold)
}

// Coldness describes whether a backend server is cold.
type Coldness struct {
	Cold bool
	// Remaining is how long it stays cold, 0 if it has not reported that.
	Remaining time.Duration
	// Bounded is set if the configuration bounds the requests to it while it is cold.
	Bounded bool
}

// Coldness returns whether the backend server is cold.
func (g *ColdGuard) Coldness(now time.Time) Coldness {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Coldness{Cold: g.cold.IsCold(now), Remaining: g.cold.Remaining(now), Bounded: g.bound().PerSecond > 0}
}

// allows reports whether a request may be sent now, and else the delay after which to retry. A nil guard allows all.
func (g *ColdGuard) allows(now time.Time) (ok bool, retryAfter time.Duration) {
	if g == nil {
		return true, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.check(now)
}

// take counts a request that is sent now, if allows permits it.
func (g *ColdGuard) take(now time.Time) (ok bool, retryAfter time.Duration) {
	if g == nil {
		return true, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if ok, retryAfter = g.check(now); ok {
		g.cold.Take(now, g.bound())
	}
	return ok, retryAfter
}

// check is allows; the calling function holds the lock.
func (g *ColdGuard) check(now time.Time) (ok bool, retryAfter time.Duration) {
	b := g.bound()
	if g.cold.Allows(now, b) {
		return true, 0
	}
	return false, g.cold.RetryAfter(now, b)
}
