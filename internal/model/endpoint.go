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
	// reportInterval is the minimum time between two reports of an endpoint's latency and error rate.
	reportInterval = time.Second
	// levelStep is the ratio by which the typical latency must change to be reported again.
	levelStep = 1.3
)

// endpoint is a simulated backend server with the queue and the detector of its exit side.
type endpoint struct {
	sim        *Simulation
	number     int
	queue      *backend.FairQueue
	detector   Detector
	reported   health.Report                // last published report
	reportedAt time.Duration                // simulated time of reported
	requests   map[*backend.Waiter]*request // waiting or running
}

func newEndpoint(s *Simulation, n int) *endpoint {
	e := &endpoint{
		sim: s, number: n, queue: backend.NewFairQueue(s.options.Slots), requests: make(map[*backend.Waiter]*request),
	}
	if s.options.NewDetector != nil {
		e.detector = s.options.NewDetector()
	}
	return e
}

func (e *endpoint) name() string { return fmt.Sprint("backend-", e.number) }

// announcement returns the endpoint as the membership announces it.
func (e *endpoint) announcement() membership.Endpoint {
	out := membership.Endpoint{
		Backend: e.name(), Service: serviceName, Slots: e.sim.options.Slots, State: membership.Active,
	}
	if e.detector == nil {
		return out
	}
	out.LatencyMicros = e.reported.Latency.Microseconds()
	out.FailurePermille = int(1000 * e.reported.FailureRate)
	if v := e.detector.Verdict(); v.Ejected {
		out.State, out.Badness, out.Trials = membership.Ejected, v.Badness, v.Trials
	}
	return out
}

// updatePeers gives the detector the medians of the last reports of the other endpoints in use.
func (e *endpoint) updatePeers() {
	if e.detector == nil {
		return
	}
	var levels []time.Duration
	var failing []float64
	for _, x := range e.sim.endpoints {
		if x != e && x.reported.Latency > 0 && !x.detector.Verdict().Ejected {
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
	e.detector.SetPeers(e.sim.clock(), health.Peers{Count: len(levels), Latency: levels[middle], FailureRate: failing[middle]})
}

// tick runs the periodic check of the detector and publishes its report if that changed enough.
func (e *endpoint) tick() {
	if e.detector == nil {
		return
	}
	e.publish(e.detector.Tick(e.sim.clock()))
	report := e.detector.Report()
	if report.Latency == 0 || e.sim.now-e.reportedAt < reportInterval {
		return
	}
	ratio := float64(report.Latency) / float64(max(e.reported.Latency, 1))
	if ratio >= levelStep || ratio <= 1/levelStep || report.FailureRate-e.reported.FailureRate > 0.004 {
		e.reported, e.reportedAt = report, e.sim.now
		e.sim.scheduleGossip()
	}
}

// publish announces a change of the verdict.
func (e *endpoint) publish(c health.Change) {
	if c == health.Unchanged {
		return
	}
	if e.sim.options.VerdictChanged != nil && c != health.TrialsOpened {
		e.sim.options.VerdictChanged(e.number, e.sim.now, e.detector.Verdict())
	}
	e.sim.scheduleGossip()
}

// receive queues a request at the exit side and starts it if a slot is free.
func (e *endpoint) receive(q *request) {
	var deadline time.Time
	if q.timeout > 0 {
		deadline = e.sim.clock().Add(q.timeout - (e.sim.now - q.arrived))
	}
	claim := backend.SlotRequest{Account: q.account.Name, Weight: q.account.Weight}
	claim.NoWait = q.noWait()
	if e.sim.options.FIFO {
		claim.Account, claim.Weight = "all", 1
	}
	w, granted, err := e.queue.Arrive(e.sim.clock(), deadline, claim)
	if err != nil {
		q.refused(e)
		return
	}
	e.requests[w] = q
	if granted {
		e.start(w)
	}
}

// start runs a request that was granted a slot.
func (e *endpoint) start(w *backend.Waiter) {
	q := e.requests[w]
	fault := e.sim.options.Fault(e.number, e.sim.now)
	duration := e.sim.options.ServiceTime(e.sim.rand)
	if fault.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * fault.SlowFactor)
	}
	outcome := backend.OutcomeAnswered
	if e.sim.rand.Float64() < fault.ErrorRate {
		outcome = backend.OutcomeError
	}
	if left := q.timeout - (e.sim.now - q.arrived); q.timeout > 0 && (fault.Hang || duration > left) {
		duration, outcome = max(left, 0), backend.OutcomeTimeout
	} else if fault.Hang {
		duration, outcome = 30*time.Second, backend.OutcomeTimeout
	}
	var flight health.RequestID
	if e.detector != nil {
		flight = e.detector.Begin(e.sim.clock())
		e.detector.Sent(e.sim.clock(), flight)
	}
	e.sim.schedule(duration, func() { e.end(w, q, flight, outcome) })
}

// end ends a request, passes its slot on, and sends the answer.
func (e *endpoint) end(w *backend.Waiter, q *request, f health.RequestID, o backend.Outcome) {
	now := e.sim.clock()
	load := e.queue.Load()
	if e.detector != nil {
		if o != backend.OutcomeTimeout {
			e.detector.Head(now, f)
		}
		e.publish(e.detector.End(now, f, o))
	}
	delete(e.requests, w)
	for _, next := range e.queue.Release(now, w) {
		e.start(next)
	}
	q.answered(e, o, load)
}
