package model

import (
	"time"

	"amaranthstile/backend"
	"amaranthstile/backend/admission"
	"amaranthstile/result"
)

const (
	// resetDelay is how long a failing backend server takes to reset the connection.
	resetDelay = 5 * time.Millisecond
	// workVariation is the coefficient of variation of the work.
	workVariation = 0.5
	// exitMargin is how much earlier than the deadline of the request the exit side ends its wait.
	exitMargin = 50 * time.Millisecond
)

// fleetEndpoint is a backend server with the admission controller of its exit side.
type fleetEndpoint struct {
	fleet      *Fleet
	name       string
	instance   *fleetInstance
	controller *admission.Controller
	failing    bool
	untested   bool // no response since the last failure, so that the circuit breaker admits trials only
	waiting    map[*admission.Waiter]*fleetRequest
}

func newFleetEndpoint(f *Fleet, name string, i *fleetInstance) *fleetEndpoint {
	bound := func() admission.RetryBound { return f.options.RetryBound }
	return &fleetEndpoint{
		fleet: f, name: name, instance: i, controller: admission.NewController(f.options.Slots, bound),
		waiting: make(map[*admission.Waiter]*fleetRequest),
	}
}

// scheduleFault schedules the change between sound and failing. The times between changes are exponentially distributed.
func (e *fleetEndpoint) scheduleFault() {
	o := e.fleet.options
	if o.FailingShare == 0 {
		return
	}
	e.failing = e.fleet.faults.Float64() < o.FailingShare
	var change func()
	change = func() {
		if e.fleet.now >= o.Duration {
			return
		}
		e.failing = !e.failing
		e.fleet.schedule(e.phaseTime(), change)
	}
	e.fleet.schedule(e.phaseTime(), change)
}

// phaseTime draws how long the endpoint stays as it is.
func (e *fleetEndpoint) phaseTime() time.Duration {
	o := e.fleet.options
	mean := float64(o.FailureTime)
	if !e.failing {
		mean *= (1 - o.FailingShare) / o.FailingShare
	}
	return time.Duration(e.fleet.faults.ExpFloat64() * mean)
}

// free reports whether the endpoint is sound and would take a request at once.
func (e *fleetEndpoint) free() bool {
	l := e.controller.Load()
	return !e.failing && !e.untested && l.Running < l.Slots && l.Waiting == 0 && e.controller.Cooldown(e.fleet.clock()) == 0
}

// receive asks for a slot for an attempt.
func (e *fleetEndpoint) receive(q *fleetRequest) {
	f, now := e.fleet, e.fleet.clock()
	until := q.deadline - exitMargin
	w, granted, err := e.controller.Arrive(now, now.Add(until-f.now), backend.SlotRequest{
		NoWait: !q.waits, Priority: q.kind.Priority, RoutePriority: q.kind.Priority, Repeatable: q.kind.Repeatable, Retry: q.reachedBackend,
		Route: q.kind.Name, SoftDeadline: now.Add(q.arrived + q.kind.Target - f.now), NestedCall: q.nested,
		AcceptLate: q.waits && q.sequence.IsLastWait(),
	})
	switch {
	case err != nil:
		q.respond(e, err)
	case granted:
		e.start(w, q)
	default:
		e.waiting[w] = q
		f.schedule(until-f.now, func() {
			if e.waiting[w] == q {
				delete(e.waiting, w)
				e.controller.Cancel(w)
				q.respond(e, result.New(result.BackendBusy, "no slot became free in time"))
			}
		})
	}
}

// handle starts or refuses requests whose wait ended.
func (e *fleetEndpoint) handle(grants []admission.Grant) {
	for _, g := range grants {
		q := e.waiting[g.Waiter]
		delete(e.waiting, g.Waiter)
		if g.Err != nil {
			q.respond(e, g.Err)
			continue
		}
		e.start(g.Waiter, q)
	}
}

// start runs a request that got a slot: its nested calls first, then its own work.
func (e *fleetEndpoint) start(w *admission.Waiter, q *fleetRequest) {
	f, began := e.fleet, e.fleet.now
	f.result.Runs++
	if q.instance.domain != e.instance.domain {
		f.result.RemoteRuns++
	}
	if e.failing && f.rand.Float64() < f.options.FailureRate {
		f.schedule(resetDelay, func() { e.end(w, q, began, backend.OutcomeAborted) })
		return
	}
	work := func() {
		f.schedule(Lognormal(q.kind.Work, workVariation)(f.rand), func() { e.end(w, q, began, backend.OutcomeAnswered) })
	}
	calls := 0
	if f.rand.Float64() < q.kind.NestedShare {
		calls = q.kind.NestedCalls
	}
	var next func(bool)
	next = func(bool) {
		if calls--; calls < 0 {
			work()
			return
		}
		k := f.kinds[q.kind.Nested]
		f.send(k, e.instance, min(q.deadline, f.now+k.Limit), true, next)
	}
	next(true)
}

// end ends a request at the backend server.
func (e *fleetEndpoint) end(w *admission.Waiter, q *fleetRequest, began time.Duration, o backend.Outcome) {
	now := e.fleet.clock()
	e.untested = o != backend.OutcomeAnswered
	var err error
	if o == backend.OutcomeAborted {
		err = result.New(result.BackendAborted, "the backend server reset the connection")
	}
	q.respond(e, err) // the load that it reports includes this request
	e.handle(e.controller.Observe(now, o, q.kind.Name, e.fleet.now-began))
	e.handle(e.controller.Release(now, w))
}
