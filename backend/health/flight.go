package health

import (
	"time"

	"amaranthstile/backend"
)

// RequestID names one request in flight.
type RequestID uint64

type flight struct {
	begin  time.Time
	sent   time.Time // zero until the whole request was sent
	headed bool
	trial  bool
}

type flights struct {
	open       map[uint64]*flight
	next       uint64
	unanswered int
}

// Begin notes that a request is handed over.
func (d *Detector) Begin(now time.Time) RequestID {
	d.flights.next++
	d.flights.open[d.flights.next] = &flight{begin: now, trial: d.ejection.takesTrials(now)}
	d.stats.Exchanges++
	return RequestID(d.flights.next)
}

// Sent notes that the whole request was sent; its time counts from here.
func (d *Detector) Sent(now time.Time, f RequestID) {
	if x := d.flights.open[uint64(f)]; x != nil && x.sent.IsZero() {
		x.sent = now
	}
}

// Head notes that the answer's head came.
func (d *Detector) Head(now time.Time, f RequestID) {
	x := d.flights.open[uint64(f)]
	if x == nil || x.headed {
		return
	}
	x.headed = true
	d.progress = now
	d.flights.unanswered, d.silent = 0, 0
	if !x.sent.IsZero() {
		d.noteTime(now, now.Sub(x.sent), false)
	}
}

// End notes how a request ended.
func (d *Detector) End(now time.Time, f RequestID, o backend.Outcome) Change {
	x := d.flights.open[uint64(f)]
	if x == nil {
		return Unchanged
	}
	delete(d.flights.open, uint64(f))
	weight := failureWeight(o)
	if weight > 0 {
		d.stats.Failures++
	}
	if d.ejection.out {
		return d.endWhileOut(now, x, o)
	}
	d.noteEnd(now, x, o, weight)
	return d.decide(now)
}

func (d *Detector) noteEnd(now time.Time, x *flight, o backend.Outcome, weight float64) {
	switch o {
	case backend.OutcomeCancelled, backend.OutcomeTimeout:
		if !x.headed && !x.sent.IsZero() {
			d.flights.unanswered++
			if level := d.level(); level > 0 && !now.Before(d.graceTo) {
				d.silent += d.surprise(now, x, level)
			}
			d.noteTime(now, now.Sub(x.sent), true)
		}
	case backend.OutcomeShed:
	default:
		d.noteFailure(now, weight)
	}
}

// Tick judges what is in flight; it is called every few milliseconds.
func (d *Detector) Tick(now time.Time) Change {
	if d.ejection.out {
		return d.tickWhileOut(now)
	}
	return d.decide(now)
}

func (d *Detector) decide(now time.Time) Change {
	reason := d.judge(now)
	if reason == "" {
		return Unchanged
	}
	d.eject(now, reason)
	return Ejected
}
