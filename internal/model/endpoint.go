package model

import (
	"fmt"
	"slices"
	"time"

	"amaranthstile/backend"
	"amaranthstile/backend/health"
	"amaranthstile/membership"
)

const (
	reportEvery = time.Second
	levelStep   = 1.3
)

// endpoint is a backend server with the exit side before it.
type endpoint struct {
	run      *Simulation
	number   int
	queue    *backend.FairQueue
	judge    Detector
	reported health.Report
	at       time.Duration
	waiting  map[*backend.Waiter]*request
}

func newEndpoint(r *Simulation, n int) *endpoint {
	e := &endpoint{run: r, number: n, queue: backend.NewFairQueue(r.options.Slots), waiting: make(map[*backend.Waiter]*request)}
	if r.options.NewDetector != nil {
		e.judge = r.options.NewDetector()
	}
	return e
}

func (e *endpoint) name() string { return fmt.Sprint("backend-", e.number) }

// announced is the endpoint as others see it.
func (e *endpoint) announced() membership.Endpoint {
	out := membership.Endpoint{Backend: e.name(), Service: serviceName, Slots: e.run.options.Slots, State: membership.Active}
	if e.judge == nil {
		return out
	}
	out.LatencyMicros = e.reported.Latency.Microseconds()
	out.FailurePermille = int(1000 * e.reported.FailureRate)
	if v := e.judge.Verdict(); v.Ejected {
		out.State, out.Badness, out.Trials = membership.Ejected, v.Badness, v.Trials
	}
	return out
}

// hearPeers gives the judge what the other endpoints last reported.
func (e *endpoint) hearPeers() {
	if e.judge == nil {
		return
	}
	var levels []time.Duration
	var failing []float64
	for _, x := range e.run.endpoints {
		if x != e && x.reported.Latency > 0 && !x.judge.Verdict().Ejected {
			levels = append(levels, x.reported.Latency)
			failing = append(failing, x.reported.FailureRate)
		}
	}
	if len(levels) == 0 {
		return
	}
	slices.Sort(levels)
	slices.Sort(failing)
	middle := (len(levels) - 1) / 2
	e.judge.SetPeers(e.run.time(), health.Peers{Count: len(levels), Latency: levels[middle], FailureRate: failing[middle]})
}

func (e *endpoint) tick() {
	if e.judge == nil {
		return
	}
	e.note(e.judge.Tick(e.run.time()))
	now := e.judge.Report()
	if now.Latency == 0 || e.run.now-e.at < reportEvery {
		return
	}
	ratio := float64(now.Latency) / float64(max(e.reported.Latency, 1))
	if ratio >= levelStep || ratio <= 1/levelStep || now.FailureRate-e.reported.FailureRate > 0.004 {
		e.reported, e.at = now, e.run.now
		e.run.changed()
	}
}

// note spreads a change of the verdict.
func (e *endpoint) note(c health.Change) {
	if c == health.Unchanged {
		return
	}
	if e.run.options.VerdictChanged != nil && c != health.TrialsOpened {
		e.run.options.VerdictChanged(e.number, e.run.now, e.judge.Verdict())
	}
	e.run.changed()
}

// take takes a request in at the exit side.
func (e *endpoint) take(q *request) {
	var deadline time.Time
	if q.limit > 0 {
		deadline = e.run.time().Add(q.limit - (e.run.now - q.arrived))
	}
	claim := backend.SlotRequest{Account: q.account.Name, Weight: q.account.Weight}
	claim.NoWait = q.noWait()
	if e.run.options.FIFO {
		claim.Account, claim.Weight = "all", 1
	}
	w, granted, err := e.queue.Arrive(e.run.time(), deadline, claim)
	if err != nil {
		q.refused(e)
		return
	}
	e.waiting[w] = q
	if granted {
		e.start(w)
	}
}

// start runs a request that got a slot.
func (e *endpoint) start(w *backend.Waiter) {
	q := e.waiting[w]
	fault := e.run.options.Fault(e.number, e.run.now)
	took := e.run.options.ServiceTime(e.run.rand)
	if fault.SlowFactor > 0 {
		took = time.Duration(float64(took) * fault.SlowFactor)
	}
	outcome := backend.OutcomeAnswered
	if e.run.rand.Float64() < fault.ErrorRate {
		outcome = backend.OutcomeError
	}
	if left := q.limit - (e.run.now - q.arrived); q.limit > 0 && (fault.Hang || took > left) {
		took, outcome = max(left, 0), backend.OutcomeTimeout
	} else if fault.Hang {
		took, outcome = 30*time.Second, backend.OutcomeTimeout
	}
	var flight health.RequestID
	if e.judge != nil {
		flight = e.judge.Begin(e.run.time())
		e.judge.Sent(e.run.time(), flight)
	}
	e.run.after(took, func() { e.end(w, q, flight, outcome) })
}

func (e *endpoint) end(w *backend.Waiter, q *request, f health.RequestID, o backend.Outcome) {
	now := e.run.time()
	load := e.queue.Load()
	if e.judge != nil {
		if o != backend.OutcomeTimeout {
			e.judge.Head(now, f)
		}
		e.note(e.judge.End(now, f, o))
	}
	delete(e.waiting, w)
	for _, next := range e.queue.Release(now, w) {
		e.start(next)
	}
	q.answered(e, o, load)
}
