package main

import (
	"time"

	"amaranthstile/backend"
	"amaranthstile/backend/health"
)

// consecutive is a common outlier detection rule, for comparison. It ejects an endpoint after 5 failures in a row,
// where a timeout counts as a failure, or when the moving average of its latencies exceeds 3 times the level of its
// peers.
type consecutive struct {
	started        map[health.RequestID]time.Time
	next           health.RequestID
	failuresInARow int
	mean           float64
	samples        int
	peers          health.Peers
	verdict        health.Verdict
}

const (
	failureLimit = 5 // failures in a row
	slowFactor   = 3.0
	meanWeight   = 0.05 // weight of a sample in the moving average
	minSamples   = 50
	ejectionTime = 30 * time.Second
)

// Begin implements model.Detector.
func (c *consecutive) Begin(now time.Time) health.RequestID {
	if c.started == nil {
		c.started = make(map[health.RequestID]time.Time)
	}
	c.next++
	c.started[c.next] = now
	return c.next
}

// Sent implements model.Detector.
func (c *consecutive) Sent(time.Time, health.RequestID) {}

// Head implements model.Detector.
func (c *consecutive) Head(now time.Time, f health.RequestID) {
	c.samples++
	c.mean += max(meanWeight, 1/float64(c.samples)) * (now.Sub(c.started[f]).Seconds() - c.mean)
}

// End implements model.Detector.
func (c *consecutive) End(now time.Time, f health.RequestID, o backend.Outcome) health.Change {
	delete(c.started, f)
	c.failuresInARow++
	if o == backend.OutcomeAnswered {
		c.failuresInARow = 0
	}
	slow := c.samples >= minSamples && c.peers.Count > 0 && c.mean > slowFactor*c.peers.Latency.Seconds()
	if c.verdict.Ejected || c.failuresInARow < failureLimit && !slow {
		return health.Unchanged
	}
	c.verdict = health.Verdict{
		Ejected: true, Since: now, HoldUntil: now.Add(ejectionTime), Badness: 100, Failures: c.failuresInARow,
	}
	return health.Ejected
}

// Tick implements model.Detector.
func (c *consecutive) Tick(now time.Time) health.Change {
	if !c.verdict.Ejected || now.Before(c.verdict.HoldUntil) {
		return health.Unchanged
	}
	c.verdict = health.Verdict{}
	c.samples, c.failuresInARow = 0, 0
	return health.Returned
}

// SetPeers implements model.Detector.
func (c *consecutive) SetPeers(_ time.Time, p health.Peers) { c.peers = p }

// Verdict implements model.Detector.
func (c *consecutive) Verdict() health.Verdict { return c.verdict }

// Report implements model.Detector.
func (c *consecutive) Report() health.Report {
	if c.samples < minSamples {
		return health.Report{}
	}
	return health.Report{Latency: time.Duration(c.mean * float64(time.Second))}
}
