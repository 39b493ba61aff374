package health

import (
	"math"
	"time"

	"amaranthstile/backend"
)

const (
	// failureLimit and slowLimit are the sums at which a verdict falls; the mean number of healthy requests
	// before a false one is at least e to their power.
	failureLimit = 12.5
	slowLimit    = 16.0
	// stuckLimit bounds the probability of the ages in flight, as minus its logarithm.
	stuckLimit = 9.0

	leastFailing  = 0.014 // share of failures that a healthy backend server may have
	mostFailing   = 0.5
	peersMargin   = 1.5
	failingShare  = 0.3 // share of failures of a failing one
	failingFactor = 3.0
	mostShare     = 0.95
	crossedWeight = 2.0

	// repeatFactor shortens detection for some time after a return; it fades until the end of the probation.
	// Ages in flight are judged by a larger one, because little evidence is left in so short a time.
	repeatFactor      = 0.35
	repeatStuckFactor = 0.5
	repeatLeastFactor = 1.0 / 7 // of leastFailing
	probationStart    = 10 * time.Second
	probation         = time.Minute

	// suspectLimit is the sum from which on slowness is suspected; confirmTime is how long slowness lasts before a verdict, so that peers that slowed too are heard.
	suspectLimit = 4.0
	confirmTime  = time.Second
	peersRose    = 1.5  // factor
	slowerThan   = 1.8  // factor over the peers
	toleratedLag = 1.5  // factor over the peers that a backend server may always have
	recentWeight = 0.05 // of one time in the recent level
	longWeight   = 0.002
	latelyWeight = 0.1
	pendingTimes = 64
	// unansweredRun is a number of requests that ended one after the other without the head of an answer.
	unansweredRun = 16
	// unknownPeers is the number of peers below which the own history is the measure.
	unknownPeers = 2
)

// Reason says what evidence led to a verdict.
type Reason string

// The reasons of verdicts.
const (
	ReasonFailures Reason = "failures"
	ReasonSlow     Reason = "slow"
	ReasonStuck    Reason = "stuck"
	ReasonTrial    Reason = "trial-failed"
)

// Change is what an event changed.
type Change int

// The changes of a verdict.
const (
	Unchanged Change = iota
	Ejected
	Returned
	// TrialsOpened means that trial requests are wanted now.
	TrialsOpened
)

// Peers is what the service's other endpoints in use report.
type Peers struct {
	// Count is how many report.
	Count int
	// Latency is the median of their levels; 0 if none is known.
	Latency time.Duration
	// FailureRate is the median of their shares of failures.
	FailureRate float64
}

// Report is what other instances learn of a backend server's times.
type Report struct {
	// Latency is the geometric mean of recent times until the answer's head.
	Latency time.Duration
	// FailureRate is the share of failures in the long run.
	FailureRate float64
}

// Detector judges one backend server. It is not safe for concurrent use.
type Detector struct {
	history *history
	peers   Peers
	graceTo time.Time

	failures     float64 // cumulative sum of evidence
	failuresSeen int     // since failures was last 0
	slowness     float64
	slowFrom     time.Time     // when slowness was first suspected, or the peers last rose
	slowBase     time.Duration // the peers' level then
	failing      float64       // share of failures in the long run
	lately       float64       // share of failures lately

	recent, long float64                   // levels, logarithms of seconds
	observed     int                       // times in recent
	learned      int                       // times in long and history
	pending      [pendingTimes]observation // not learned yet
	pendingNext  int

	flights  flights
	progress time.Time // of the last answer's head
	silent   float64   // surprise of the requests that ended since then without one

	ejection ejection
	stats    Stats
}

// observation is one time in seconds; a censored one is a time after which there was no answer yet.
type observation struct {
	seconds  float64
	censored bool
}

// Stats counts what a Detector saw.
type Stats struct {
	Exchanges, Failures, Ejections, Returns, TrialsFailed uint64
}

func (s *Stats) add(o Stats) {
	s.Exchanges += o.Exchanges
	s.Failures += o.Failures
	s.Ejections += o.Ejections
	s.Returns += o.Returns
	s.TrialsFailed += o.TrialsFailed
}

// NewDetector returns a detector; until the end of grace, times do not count.
func NewDetector(grace time.Time) *Detector {
	return &Detector{history: newHistory(), graceTo: grace, flights: flights{open: make(map[uint64]*flight)}}
}

// ExtendGrace lets times not count until a time, as during a cold start.
func (d *Detector) ExtendGrace(until time.Time) {
	if until.After(d.graceTo) {
		d.graceTo = until
	}
}

// SetPeers tells what the peers of the service report.
func (d *Detector) SetPeers(now time.Time, p Peers) {
	d.peers = p
	if d.slowness > 0 && float64(p.Latency) > peersRose*float64(d.slowBase) {
		d.slowFrom, d.slowBase = now, p.Latency
		d.slowness = 0
	}
}

// Report returns what others learn; it is empty until enough was seen.
func (d *Detector) Report() Report {
	r := Report{FailureRate: d.failing}
	if d.observed >= pendingTimes/2 {
		r.Latency = time.Duration(math.Exp(d.recent) * float64(time.Second))
	}
	return r
}

// Stats returns the counts so far.
func (d *Detector) Stats() Stats { return d.stats }

// level is the time that the backend server is measured by, in seconds; 0 while unknown.
func (d *Detector) level() float64 {
	own := 0.0
	if d.learned >= pendingTimes {
		own = math.Exp(d.long)
	}
	if d.peers.Count < unknownPeers || d.peers.Latency <= 0 {
		return own
	}
	peers := d.peers.Latency.Seconds()
	return max(peers, min(own, toleratedLag*peers))
}

// factor shortens detection after an earlier ejection; least is the factor right after it.
func (d *Detector) factor(now time.Time, least float64) float64 {
	since, ok := d.ejection.sinceReturn(now)
	if !ok || since >= probation {
		return 1
	}
	faded := float64(since-probationStart) / float64(probation-probationStart)
	return least + (1-least)*max(0, faded)
}

// noteFailure adds one failure of the given weight, or with weight 0 a request that did not fail.
func (d *Detector) noteFailure(now time.Time, weight float64) {
	healthy := d.healthyShare(now)
	failing := min(mostShare, max(failingShare, failingFactor*healthy))
	failed := 0.0
	if weight > 0 {
		failed = 1
		d.failuresSeen++
		d.failures += weight * math.Log(failing/healthy)
	} else {
		d.failures = max(0, d.failures+math.Log((1-failing)/(1-healthy)))
		if d.failures == 0 {
			d.failuresSeen = 0
		}
	}
	d.failing += longWeight * (failed - d.failing)
	d.lately += latelyWeight * (failed - d.lately)
}

// healthyShare is the share of failures that is not the endpoint's own.
func (d *Detector) healthyShare(now time.Time) float64 {
	share := d.failing
	if d.peers.Count >= unknownPeers {
		share = d.peers.FailureRate
	}
	return min(max(peersMargin*share, leastFailing*d.factor(now, repeatLeastFactor)), mostFailing)
}

// noteTime adds one time until an answer's head, or with censored a time after which there was none yet.
func (d *Detector) noteTime(now time.Time, took time.Duration, censored bool) {
	if now.Before(d.graceTo) {
		return
	}
	o := observation{max(took.Seconds(), 1e-6), censored}
	d.noteSlowness(now, o)
	d.noteLevel(o)
}

func (d *Detector) noteSlowness(now time.Time, o observation) {
	level := d.level()
	if level == 0 {
		return
	}
	score := d.history.score[bucketOf(o.seconds/level)]
	if o.censored {
		score = d.history.beyond[bucketOf(o.seconds/level)]
	}
	if d.slowness < d.factor(now, repeatFactor)*suspectLimit {
		d.slowFrom, d.slowBase = now, d.peers.Latency
	}
	d.slowness = max(0, d.slowness+score)
}

func (d *Detector) noteLevel(o observation) {
	if o.censored && d.observed == 0 {
		return
	}
	d.observed++
	d.recent += max(recentWeight, 1/float64(d.observed)) * (d.expected(o, d.recent) - d.recent)
	if old := d.pending[d.pendingNext]; old.seconds > 0 {
		d.learn(old)
	}
	d.pending[d.pendingNext] = o
	d.pendingNext = (d.pendingNext + 1) % pendingTimes
}

// expected is the logarithm of an observed time, or for a censored one its mean beyond; base is the level.
func (d *Detector) expected(o observation, base float64) float64 {
	l := math.Log(o.seconds)
	if o.censored {
		l = max(l, base+d.history.meanBeyond(o.seconds/math.Exp(base)))
	}
	return l
}

func (d *Detector) learn(o observation) {
	if o.censored && d.learned == 0 {
		return
	}
	d.learned++
	d.long += max(longWeight, 1/float64(d.learned)) * (d.expected(o, d.long) - d.long)
	d.history.learn(o.seconds/math.Exp(d.long), o.censored)
}

// judge looks at the sums and returns the reason of a verdict, "" for none.
func (d *Detector) judge(now time.Time) Reason {
	f := d.factor(now, repeatFactor)
	if d.failures >= f*failureLimit {
		return ReasonFailures
	}
	if d.slowness >= f*slowLimit*d.history.youth() && now.Sub(d.slowFrom) >= time.Duration(f*f*float64(confirmTime)) && d.slowerThanPeers() {
		return ReasonSlow
	}
	if d.stuck(now, d.factor(now, repeatStuckFactor)) {
		return ReasonStuck
	}
	return ""
}

// slowerThanPeers compares the recent level with the peers' recent one, or with the own one of long.
func (d *Detector) slowerThanPeers() bool {
	level := d.level()
	return math.Exp(d.recent) >= slowerThan*level || d.flights.unanswered >= unansweredRun
}

// stuck judges the ages of the requests in flight since the last whole answer.
func (d *Detector) stuck(now time.Time, f float64) bool {
	level := d.level()
	if level == 0 || now.Before(d.graceTo) {
		return false
	}
	sum, n := d.silent, float64(d.flights.unanswered)
	for _, x := range d.flights.open {
		if x.sent.IsZero() || x.headed {
			continue
		}
		sum += d.surprise(now, x, level)
		n++
	}
	sum /= f
	return n >= leastStuck && sum > n && sum-n-n*math.Log(sum/n) >= stuckLimit
}

// surprise is how unlikely the age of a request in flight is, counted from the last answer's head on.
func (d *Detector) surprise(now time.Time, x *flight, level float64) float64 {
	since := x.sent
	if d.progress.After(since) {
		since = d.progress
	}
	return min(d.history.surprise(now.Sub(since).Seconds()/level), surpriseLimit)
}

const (
	// surpriseLimit bounds what one request says, so that a single odd one condemns no backend server.
	surpriseLimit = 12.0
	leastStuck    = 2
)

// failureWeight is how much an outcome counts as a failure, 0 for one that says nothing or good.
func failureWeight(o backend.Outcome) float64 {
	switch o {
	case backend.OutcomeError, backend.OutcomeTruncated, backend.OutcomeUnreachable, backend.OutcomeAborted:
		return 1
	case backend.OutcomeCrossed:
		return crossedWeight
	}
	return 0
}
