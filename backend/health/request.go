package health

import (
	"time"

	"amaranthstile/backend"
)

// RequestID identifies one request in flight at a Detector.
type RequestID uint64

// request is one request in flight.
type request struct {
	begin   time.Time
	sent    time.Time // zero until the whole request was sent
	hasHead bool      // the response header has arrived
	trial   bool      // the request began after the hold time of an ejection
}

// requestTable holds the requests in flight.
type requestTable struct {
	inFlight   map[uint64]*request
	lastID     uint64
	unanswered int // requests that ended without a response header since the last one arrived
}

// Begin records that a request is handed to the backend server.
func (d *Detector) Begin(now time.Time) RequestID {
	d.requests.lastID++
	d.requests.inFlight[d.requests.lastID] = &request{begin: now, trial: d.ejection.takesTrials(now)}
	d.stats.Exchanges++
	return RequestID(d.requests.lastID)
}

// Sent records that the whole request was sent; its time is counted from here.
func (d *Detector) Sent(now time.Time, id RequestID) {
	if r := d.requests.inFlight[uint64(id)]; r != nil && r.sent.IsZero() {
		r.sent = now
	}
}

// Head records that the response header arrived.
func (d *Detector) Head(now time.Time, id RequestID) {
	r := d.requests.inFlight[uint64(id)]
	if r == nil || r.hasHead {
		return
	}
	r.hasHead = true
	d.lastHead = now
	d.requests.unanswered, d.unansweredSurprisal = 0, 0
	if !r.sent.IsZero() {
		d.recordTime(now, now.Sub(r.sent), false)
	}
}

// End records how a request ended and returns how this changed the verdict.
func (d *Detector) End(now time.Time, id RequestID, o backend.Outcome) Change {
	r := d.requests.inFlight[uint64(id)]
	if r == nil {
		return Unchanged
	}
	delete(d.requests.inFlight, uint64(id))
	weight := failureWeight(o)
	if weight > 0 {
		d.stats.Failures++
	}
	if d.ejection.ejected {
		return d.endWhileEjected(now, r, o)
	}
	d.recordEnd(now, r, o, weight)
	return d.evaluate(now)
}

// recordEnd adds the evidence of a request that ended while the backend server was in use.
func (d *Detector) recordEnd(now time.Time, r *request, o backend.Outcome, weight float64) {
	switch o {
	case backend.OutcomeCancelled, backend.OutcomeTimeout:
		if !r.hasHead && !r.sent.IsZero() {
			d.requests.unanswered++
			if baseline := d.baseline(); baseline > 0 && !now.Before(d.graceUntil) {
				d.unansweredSurprisal += d.surprisal(now, r, baseline)
			}
			d.recordTime(now, now.Sub(r.sent), true)
		}
	case backend.OutcomeShed:
	default:
		d.recordFailure(now, weight)
	}
}

// Tick judges the requests in flight and returns how this changed the verdict. It is called every few milliseconds.
func (d *Detector) Tick(now time.Time) Change {
	if d.ejection.ejected {
		return d.tickWhileEjected(now)
	}
	return d.evaluate(now)
}

// evaluate ejects the backend server if there is enough evidence.
func (d *Detector) evaluate(now time.Time) Change {
	reason := d.findReason(now)
	if reason == "" {
		return Unchanged
	}
	d.eject(now, reason)
	return Ejected
}
