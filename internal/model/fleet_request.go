package model

import (
	"time"

	"amaranthstile/entry"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// maxRuns is the number of endpoints that may run a repeatable request.
const maxRuns = 3

// fleetRequest is one request of a client or a backend server.
type fleetRequest struct {
	fleet             *Fleet
	kind              *Kind
	instance          *fleetInstance
	arrived, deadline time.Duration
	nested            bool
	done              func(ok bool)

	sequence       entry.AttemptSequence
	reachedBackend bool
	runs           int
	waits          bool // the present attempt waits for a slot
	began          time.Duration
	target         membership.Candidate
}

// send sends a request that arrives at an instance. done is called when it ends.
func (f *Fleet) send(k *Kind, i *fleetInstance, deadline time.Duration, nested bool, done func(ok bool)) {
	q := &fleetRequest{fleet: f, kind: k, instance: i, arrived: f.now, deadline: deadline, nested: nested, done: done}
	if !q.attempt() {
		q.finish(false, true)
	}
}

// attempt sends the request to the next endpoint; it reports false if there is none.
func (q *fleetRequest) attempt() bool {
	f := q.fleet
	c, wait, ok := q.sequence.Next(q.instance.selector, entry.Query{
		Directory: f.directory, Service: q.kind.Service, Repeatable: q.kind.Repeatable, ReachedBackend: q.reachedBackend,
	})
	if !ok {
		return false
	}
	f.result.Attempts++
	q.target, q.waits, q.began = c, wait, f.now
	e := f.endpoints[c.Backend]
	f.schedule(f.delay(q.instance, e), func() { e.receive(q) })
	return true
}

// respond sends the outcome of an attempt back to the entry side.
func (q *fleetRequest) respond(e *fleetEndpoint, err error) {
	load := e.controller.Load().String()
	q.fleet.schedule(q.fleet.delay(q.instance, e), func() { q.handle(load, err) })
}

// handle handles the outcome of an attempt in the manner of the entry side's dispatch.
func (q *fleetRequest) handle(load string, err error) {
	f, code := q.fleet, result.CodeOf(err)
	q.instance.selector.Done(q.target, entry.AttemptResult{Took: f.now - q.began, Err: err, Load: load})
	switch code {
	case result.OK:
		q.finish(true, false)
	case result.BackendAborted:
		q.reachedBackend = true
		if q.runs++; !q.kind.Repeatable || q.runs >= maxRuns || f.now >= q.deadline || !q.attempt() {
			q.finish(false, false)
		}
	default:
		if code == result.BackendBusy {
			f.result.Busy++
		}
		if !q.sequence.Refused(q.target, q.waits, code) || f.now >= q.deadline || !q.attempt() {
			q.finish(false, !q.reachedBackend)
		}
	}
}

// finish counts the request and tells its caller.
func (q *fleetRequest) finish(ok, notRun bool) {
	f := q.fleet
	r, took := &f.result, f.now-q.arrived
	s := r.ByService[q.kind.Service]
	benefit := 0.0
	r.Requests++
	s.Requests++
	switch {
	case ok && took <= q.kind.Target:
		r.OnTime++
		s.OnTime++
		benefit = q.kind.OnTime
	case ok && f.now <= q.deadline:
		r.Late++
		s.Late++
		benefit = q.kind.Late
	case !ok && notRun:
		r.Refused++
		s.Refused++
		if f.hasFreeSlot(q.kind.Service) {
			r.RefusedFree++
			s.RefusedFree++
		}
	default:
		r.Failed++
	}
	r.ByService[q.kind.Service] = s
	r.Benefit += benefit
	r.PossibleBenefit += q.kind.OnTime
	q.instance.selector.RequestDone(q.kind.Service, ok)
	q.done(ok)
}
