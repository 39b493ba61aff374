package main

import (
	"time"

	"amaranthstile/backend"
	"amaranthstile/backend/health"
)

// consecutive is the usual outlier rule, for comparison: out after 5 failures in a row, a timeout counting as
// one, or when the moving mean of the times exceeds 3 times the peers' level.
type consecutive struct {
	open    map[health.Flight]time.Time
	next    health.Flight
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

// Begin implements model.Detector.
func (c *consecutive) Begin(now time.Time) health.Flight {
	if c.open == nil {
		c.open = make(map[health.Flight]time.Time)
	}
	c.next++
	c.open[c.next] = now
	return c.next
}

// Sent implements model.Detector.
func (c *consecutive) Sent(time.Time, health.Flight) {}

// Head implements model.Detector.
func (c *consecutive) Head(now time.Time, f health.Flight) {
	c.seen++
	c.mean += max(meanWeight, 1/float64(c.seen)) * (now.Sub(c.open[f]).Seconds() - c.mean)
}

// End implements model.Detector.
func (c *consecutive) End(now time.Time, f health.Flight, o backend.Outcome) health.Change {
	delete(c.open, f)
	c.inARow++
	if o == backend.OutcomeAnswered {
		c.inARow = 0
	}
	slow := c.seen >= enough && c.peers.Count > 0 && c.mean > slowFactor*c.peers.Level.Seconds()
	if c.verdict.Out || c.inARow < inARowLimit && !slow {
		return health.Unchanged
	}
	c.verdict = health.Verdict{Out: true, Since: now, Hold: now.Add(holdFor), Badness: 100, Failures: c.inARow}
	return health.Ejected
}

// Tick implements model.Detector.
func (c *consecutive) Tick(now time.Time) health.Change {
	if !c.verdict.Out || now.Before(c.verdict.Hold) {
		return health.Unchanged
	}
	c.verdict = health.Verdict{}
	c.seen, c.inARow = 0, 0
	return health.Returned
}

// SetPeers implements model.Detector.
func (c *consecutive) SetPeers(_ time.Time, p health.Peers) { c.peers = p }

// Verdict implements model.Detector.
func (c *consecutive) Verdict() health.Verdict { return c.verdict }

// Report implements model.Detector.
func (c *consecutive) Report() health.Report {
	if c.seen < enough {
		return health.Report{}
	}
	return health.Report{Level: time.Duration(c.mean * float64(time.Second))}
}
