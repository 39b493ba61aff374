package health

import (
	"math"
	"time"

	"amaranthstile/backend"
)

const (
	firstHold = 5 * time.Second
	maxHold   = 5 * time.Minute
	// forgetAfter is the time in use after which one earlier ejection is forgotten.
	forgetAfter = 5 * time.Minute

	// trialsToReturn successes bring a backend server back, and moreTrials more for each repetition.
	trialsToReturn = 10
	moreTrials     = 4
	maxTrials      = 30
	// trialSlowLimit is the evidence of slowness at which a series of trials fails.
	trialSlowLimit = 6.0
	// trialStuck and trialPatience bound how long a trial request may go without an answer.
	trialStuck    = 9.0
	trialPatience = 10 * time.Second
)

// ejection is the part of a detector that takes a backend server out and brings it back.
type ejection struct {
	out       bool
	reason    Reason
	since     time.Time // of the last change of out
	holdUntil time.Time
	repeats   int // ejections not forgotten yet
	badness   float64
	failures  int
	successes int
	opened    bool
}

// Verdict is what a detector holds of its backend server.
type Verdict struct {
	// Ejected says that the backend server should be out of use.
	Ejected bool
	Reason  Reason
	// Since is when the verdict last changed.
	Since time.Time
	// Badness orders those that are out, 1 to 100: the share of failing or slow requests.
	Badness int
	// Trials says that trial requests are wanted.
	Trials bool
	// HoldUntil is when trials begin.
	HoldUntil time.Time
	// Failures is how many requests failed since the one that began the evidence.
	Failures int
	// RecentEjections is the number of ejections that are not forgotten yet.
	RecentEjections int
}

// Verdict returns the present verdict.
func (d *Detector) Verdict() Verdict {
	e := &d.ejection
	return Verdict{
		Ejected: e.out, Reason: e.reason, Since: e.since, Badness: int(min(max(math.Ceil(e.badness), 1), 100)),
		Trials: e.out && e.opened, HoldUntil: e.holdUntil, Failures: e.failures, RecentEjections: e.repeats,
	}
}

// sinceReturn is the time since the last return, if there was one.
func (e *ejection) sinceReturn(now time.Time) (time.Duration, bool) {
	return now.Sub(e.since), e.repeats > 0 && !e.out
}

// hold is how long the present number of ejections holds.
func (e *ejection) hold() time.Duration {
	if e.repeats == 0 {
		return 0
	}
	return min(firstHold<<min(e.repeats-1, 10), maxHold)
}

func (e *ejection) takesTrials(now time.Time) bool { return e.out && !now.Before(e.holdUntil) }

func (d *Detector) eject(now time.Time, reason Reason) {
	e := &d.ejection
	if !e.since.IsZero() {
		e.repeats = max(0, e.repeats-int(now.Sub(e.since)/forgetAfter))
	}
	e.repeats++
	e.out, e.reason, e.since, e.opened = true, reason, now, false
	e.badness = d.badness(reason)
	e.holdUntil = now.Add(e.hold())
	e.failures, e.successes = d.failuresSeen, 0
	d.reset()
	d.stats.Ejections++
}

// badness is the share of capacity that is lost, in percent.
func (d *Detector) badness(reason Reason) float64 {
	switch reason {
	case ReasonStuck:
		return 100
	case ReasonSlow:
		return 100 * (1 - min(1, d.level()/math.Exp(d.recent)))
	case ReasonTrial:
		return max(d.ejection.badness, 100*d.lately)
	}
	return 100 * d.lately
}

// reset forgets the evidence and the times that led to it.
func (d *Detector) reset() {
	d.failures, d.slowness, d.failuresSeen = 0, 0, 0
	d.flights.unanswered, d.silent = 0, 0
	d.pending = [pendingTimes]observation{}
}

func (d *Detector) endWhileOut(now time.Time, x *flight, o backend.Outcome) Change {
	if !x.trial || !d.ejection.opened {
		return Unchanged
	}
	switch {
	case failureWeight(o) > 0 || d.slowness >= trialSlowLimit:
		return d.failTrial(now)
	case o == backend.OutcomeAnswered:
		d.ejection.successes++
	case o == backend.OutcomeTimeout || o == backend.OutcomeCancelled:
		if !x.headed && !x.sent.IsZero() {
			d.noteTime(now, now.Sub(x.sent), true)
		}
	}
	if d.ejection.successes < d.ejection.trials() {
		return Unchanged
	}
	d.ejection.out, d.ejection.since = false, now
	d.reset()
	d.stats.Returns++
	return Returned
}

// trials is how many successes the backend server needs to return.
func (e *ejection) trials() int {
	return min(trialsToReturn+moreTrials*(e.repeats-1), maxTrials)
}

// failTrial holds the backend server out for longer.
func (d *Detector) failTrial(now time.Time) Change {
	d.stats.TrialsFailed++
	d.eject(now, ReasonTrial)
	d.stats.Ejections-- // it was out already
	return Ejected
}

func (d *Detector) tickWhileOut(now time.Time) Change {
	e := &d.ejection
	if now.Before(e.holdUntil) {
		return Unchanged
	}
	if !e.opened {
		e.opened = true
		d.reset()
		return TrialsOpened
	}
	for _, x := range d.flights.open {
		if x.trial && !x.headed && !x.sent.IsZero() && d.trialHangs(now.Sub(x.sent)) {
			x.trial = false
			return d.failTrial(now)
		}
	}
	return Unchanged
}

func (d *Detector) trialHangs(age time.Duration) bool {
	if age >= trialPatience {
		return true
	}
	level := d.level()
	return level > 0 && d.history.surprise(age.Seconds()/level) >= trialStuck
}
