package main

import (
	"time"

	"amaranthstile/backend"
	"amaranthstile/backend/health"
)

// consecutive is the usual outlier rule, for comparison: out after 5 failures in a row, a timeout counting as
// one, or when the moving mean of the times exceeds 3 times the peers' level.
type consecutive struct {
	open    map[health.RequestID]time.Time
	next    health.RequestID
	inARow  int
	mean    float64
	seen    int
	peers   health.Peers
	verdict health.Verdict
}

const (
	inARowLimit = 5
	slowFactor  = 3.0
	meanWeight  = 0.05
	enough      = 50
	holdFor     = 30 * time.Second
)

// Begin implements model.Judge.
func (c *consecutive) Begin(now time.Time) health.RequestID {
	if c.open == nil {
		c.open = make(map[health.RequestID]time.Time)
	}
	c.next++
	c.open[c.next] = now
	return c.next
}

// Sent implements model.Judge.
func (c *consecutive) Sent(time.Time, health.RequestID) {}

// Head implements model.Judge.
func (c *consecutive) Head(now time.Time, f health.RequestID) {
	c.seen++
	c.mean += max(meanWeight, 1/float64(c.seen)) * (now.Sub(c.open[f]).Seconds() - c.mean)
}

// End implements model.Judge.
func (c *consecutive) End(now time.Time, f health.RequestID, o backend.Outcome) health.Change {
	delete(c.open, f)
	c.inARow++
	if o == backend.OutcomeAnswered {
		c.inARow = 0
	}
	slow := c.seen >= enough && c.peers.Count > 0 && c.mean > slowFactor*c.peers.Latency.Seconds()
	if c.verdict.Ejected || c.inARow < inARowLimit && !slow {
		return health.Unchanged
	}
	c.verdict = health.Verdict{Ejected: true, Since: now, HoldUntil: now.Add(holdFor), Badness: 100, Failures: c.inARow}
	return health.Ejected
}

// Tick implements model.Judge.
func (c *consecutive) Tick(now time.Time) health.Change {
	if !c.verdict.Ejected || now.Before(c.verdict.HoldUntil) {
		return health.Unchanged
	}
	c.verdict = health.Verdict{}
	c.seen, c.inARow = 0, 0
	return health.Returned
}

// SetPeers implements model.Judge.
func (c *consecutive) SetPeers(_ time.Time, p health.Peers) { c.peers = p }

// Verdict implements model.Judge.
func (c *consecutive) Verdict() health.Verdict { return c.verdict }

// Report implements model.Judge.
func (c *consecutive) Report() health.Report {
	if c.seen < enough {
		return health.Report{}
	}
	return health.Report{Latency: time.Duration(c.mean * float64(time.Second))}
}
