package health

import (
	"math"
	"time"

	"amaranthstile/backend"
)

const (
	// The hold time is initialHold for the first ejection and doubles with each further one, up to maxHold.
	initialHold = 5 * time.Second
	maxHold     = 5 * time.Minute
	// forgetAfter is the time in use after which one earlier ejection no longer counts.
	forgetAfter = 5 * time.Minute

	// minTrialSuccesses is the number of successful trials after which a backend server returns to use. Each further
	// ejection requires trialSuccessStep more, up to maxTrialSuccesses.
	minTrialSuccesses = 10
	trialSuccessStep  = 4
	maxTrialSuccesses = 30
	// trialSlowThreshold is the cumulative sum of slowness at which a series of trials fails.
	trialSlowThreshold = 6.0
	// A trial fails without a response when its age is as improbable as trialStuckThreshold, as minus the logarithm of
	// the probability, or after trialTimeout.
	trialStuckThreshold = 9.0
	trialTimeout        = 10 * time.Second
)

// ejection is the state of a detector that ejects a backend server and returns it to use.
type ejection struct {
	ejected         bool
	reason          Reason
	since           time.Time // when ejected last changed or a trial last failed
	holdUntil       time.Time
	recentEjections int // ejections that still count
	badness         float64
	failures        int
	successes       int // of trials
	trialsOpen      bool
}

// Verdict is the judgment of a detector on its backend server.
type Verdict struct {
	// Ejected is set if the backend server should not be used.
	Ejected bool
	Reason  Reason
	// Since is when Ejected last changed, or when a trial last failed.
	Since time.Time
	// Badness ranks ejected backend servers from 1 to 100: the percentage of failing or slow requests.
	Badness int
	// Trials is set if the backend server needs trial requests to return to use.
	Trials bool
	// HoldUntil is when the hold time ends and trials begin.
	HoldUntil time.Time
	// Failures is the number of failed requests since the evidence for the ejection began to accumulate.
	Failures int
	// RecentEjections is the number of ejections that still count, including the current one.
	RecentEjections int
}

// Verdict returns the current verdict.
func (d *Detector) Verdict() Verdict {
	e := &d.ejection
	return Verdict{
		Ejected: e.ejected, Reason: e.reason, Since: e.since, Badness: int(min(max(math.Ceil(e.badness), 1), 100)),
		Trials: e.ejected && e.trialsOpen, HoldUntil: e.holdUntil, Failures: e.failures, RecentEjections: e.recentEjections,
	}
}

// sinceReturn returns the time since the backend server returned to use. It returns false if it is ejected or has no
// ejection that still counts.
func (e *ejection) sinceReturn(now time.Time) (time.Duration, bool) {
	return now.Sub(e.since), e.recentEjections > 0 && !e.ejected
}

// hold returns the hold time for the current number of ejections.
func (e *ejection) hold() time.Duration {
	if e.recentEjections == 0 {
		return 0
	}
	return min(initialHold<<min(e.recentEjections-1, 10), maxHold)
}

// takesTrials reports whether a request that begins now is a trial.
func (e *ejection) takesTrials(now time.Time) bool { return e.ejected && !now.Before(e.holdUntil) }

// eject ejects the backend server, or extends its ejection, and starts a new hold time.
func (d *Detector) eject(now time.Time, reason Reason) {
	e := &d.ejection
	if !e.since.IsZero() {
		e.recentEjections = max(0, e.recentEjections-int(now.Sub(e.since)/forgetAfter))
	}
	e.recentEjections++
	e.ejected, e.reason, e.since, e.trialsOpen = true, reason, now, false
	e.badness = d.badness(reason)
	e.holdUntil = now.Add(e.hold())
	e.failures, e.successes = d.failureCount, 0
	d.reset()
	d.stats.Ejections++
}

// badness returns the share of the capacity that is lost, in percent.
func (d *Detector) badness(reason Reason) float64 {
	switch reason {
	case ReasonStuck:
		return 100
	case ReasonSlow:
		return 100 * (1 - min(1, d.baseline()/math.Exp(d.recentLogTime)))
	case ReasonTrial:
		return max(d.ejection.badness, 100*d.recentFailureRate)
	}
	return 100 * d.recentFailureRate
}

// reset discards the evidence and the pending times.
func (d *Detector) reset() {
	d.failureScore, d.slowScore, d.failureCount = 0, 0, 0
	d.requests.unanswered, d.unansweredSurprisal = 0, 0
	d.pending = [pendingTimes]observation{}
}

// endWhileEjected records the end of a request at an ejected backend server. Only trials count; enough successes return
// the server to use, and one failure starts a new hold time.
func (d *Detector) endWhileEjected(now time.Time, r *request, o backend.Outcome) Change {
	if !r.trial || !d.ejection.trialsOpen {
		return Unchanged
	}
	switch {
	case failureWeight(o) > 0 || d.slowScore >= trialSlowThreshold:
		return d.failTrial(now)
	case o == backend.OutcomeAnswered:
		d.ejection.successes++
	case o == backend.OutcomeTimeout || o == backend.OutcomeCancelled:
		if !r.hasHead && !r.sent.IsZero() {
			d.recordTime(now, now.Sub(r.sent), true)
		}
	}
	if d.ejection.successes < d.ejection.requiredSuccesses() {
		return Unchanged
	}
	d.ejection.ejected, d.ejection.since = false, now
	d.reset()
	d.stats.Returns++
	return Returned
}

// requiredSuccesses returns the number of successful trials after which the backend server returns to use.
func (e *ejection) requiredSuccesses() int {
	return min(minTrialSuccesses+trialSuccessStep*(e.recentEjections-1), maxTrialSuccesses)
}

// failTrial extends the ejection after a failed trial.
func (d *Detector) failTrial(now time.Time) Change {
	d.stats.TrialsFailed++
	d.eject(now, ReasonTrial)
	d.stats.Ejections-- // the backend server was already ejected
	return Ejected
}

// tickWhileEjected opens the trials at the end of the hold time and fails a trial that hangs.
func (d *Detector) tickWhileEjected(now time.Time) Change {
	e := &d.ejection
	if now.Before(e.holdUntil) {
		return Unchanged
	}
	if !e.trialsOpen {
		e.trialsOpen = true
		d.reset()
		return TrialsOpened
	}
	for _, r := range d.requests.inFlight {
		if r.trial && !r.hasHead && !r.sent.IsZero() && d.trialHangs(now.Sub(r.sent)) {
			r.trial = false
			return d.failTrial(now)
		}
	}
	return Unchanged
}

// trialHangs reports whether a trial without a response has become too old.
func (d *Detector) trialHangs(age time.Duration) bool {
	if age >= trialTimeout {
		return true
	}
	baseline := d.baseline()
	return baseline > 0 && d.history.surprisal(age.Seconds()/baseline) >= trialStuckThreshold
}
