package model

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthstile/backend"
	"amaranthstile/entry"
	"amaranthstile/membership"
)

// maxAttempts is the number of attempts that a request may make, not counting refusals of a no-wait attempt.
const maxAttempts = 4

// request is one simulated request.
type request struct {
	sim     *Simulation
	entry   int // instance at which the request arrived
	account *Account
	arrived time.Duration
	timeout time.Duration
	query   entry.Query
	busy    []membership.Candidate // endpoints that had no free slot
	target  membership.Candidate   // endpoint of the current attempt
}

// arrive creates one request and schedules the arrival of the next.
func (s *Simulation) arrive() {
	if s.arrived >= s.options.Requests {
		return
	}
	s.arrived++
	s.inFlight++
	q := &request{
		sim: s, entry: s.rand.IntN(s.options.Entries), arrived: s.now, timeout: s.options.RequestTimeout,
		account: s.randomAccount(),
	}
	q.query = entry.Query{Service: serviceName, Repeatable: true}
	q.send()
	s.schedule(time.Duration(s.rand.ExpFloat64()/s.options.Rate*float64(time.Second)), s.arrive)
}

// randomAccount draws an account by the accounts' shares of the arrivals.
func (s *Simulation) randomAccount() *Account {
	x := s.rand.Float64()
	for i := range s.options.Accounts {
		a := &s.options.Accounts[i]
		if x -= a.Share; x < 0 {
			return a
		}
	}
	return &s.options.Accounts[0]
}

// send selects an endpoint and sends the request there.
func (q *request) send() {
	q.query.Directory = q.sim.directory
	query := q.query
	if q.noWait() {
		query.Tried = append(slices.Clone(query.Tried), q.busy...)
	}
	c, ok := q.sim.selectors[q.entry].Select(query)
	if !ok && len(q.busy) > 0 {
		c, ok = q.sim.selectors[q.entry].Select(q.query)
	}
	if !ok {
		q.finish(false)
		return
	}
	q.target = c
	e := q.sim.endpointOf(c)
	q.sim.schedule(q.delay(), func() { e.receive(q) })
}

// noWait reports whether the current attempt should try another endpoint instead of waiting for a slot.
func (q *request) noWait() bool { return len(q.busy) < q.sim.options.NoWaitAttempts }

// endpointOf returns the simulated endpoint of a candidate.
func (s *Simulation) endpointOf(c membership.Candidate) *endpoint {
	for _, e := range s.endpoints {
		if e.name() == c.Backend {
			return e
		}
	}
	return nil
}

// delay returns the one-way delay between the instance of arrival and the endpoint.
func (q *request) delay() time.Duration {
	if q.target.Instance.Domain == q.sim.domain(q.entry) {
		return localDelay
	}
	return remoteDelay
}

// answered sends an answer back to the instance of arrival, which may retry the request after an error.
func (q *request) answered(_ *endpoint, o backend.Outcome, load backend.Load) {
	q.sim.schedule(q.delay(), func() {
		q.done(load)
		q.query.Tried = append(q.query.Tried, q.target)
		switch {
		case o == backend.OutcomeAnswered:
			q.finish(true)
		case o == backend.OutcomeError && len(q.query.Tried) < maxAttempts:
			q.send()
		default:
			q.finish(false)
		}
	})
}

// refused sends a refusal of the exit side back to the instance of arrival, which tries another endpoint.
func (q *request) refused(e *endpoint) {
	load := e.queue.Load()
	q.sim.schedule(q.delay(), func() {
		q.done(load)
		if q.noWait() {
			q.busy = append(q.busy, q.target)
			q.send()
			return
		}
		q.query.Tried = append(q.query.Tried, q.target)
		if len(q.query.Tried) < maxAttempts {
			q.send()
			return
		}
		q.finish(false)
	})
}

// done reports the end of the current attempt to the selector.
func (q *request) done(load backend.Load) {
	t := entry.AttemptResult{Load: load.String()}
	if n := q.sim.options.LoadReportEvery; n > 1 && q.sim.rand.IntN(n) > 0 {
		t.Load = ""
	}
	q.sim.selectors[q.entry].Done(q.target, t)
}

// finish records the result of the request.
func (q *request) finish(ok bool) {
	q.sim.inFlight--
	q.sim.result.add(q.account.Name, q.sim.now-q.arrived, ok)
}

// Result holds the measurements of a Simulation.
type Result struct {
	Answered, Failed int
	// Elapsed is the simulated time.
	Elapsed time.Duration
	// LatencyByAccount holds the latencies of answered requests in microseconds, by account.
	LatencyByAccount map[string]*hdrhistogram.Histogram
	// FailedByAccount counts the requests that were not answered successfully, by account.
	FailedByAccount map[string]int
	// Latency holds the latencies of answered requests of all accounts in microseconds.
	Latency *hdrhistogram.Histogram
}

const (
	maxLatencyMicros = 600_000_000
	histogramDigits  = 3
)

func newResult() Result {
	return Result{
		LatencyByAccount: make(map[string]*hdrhistogram.Histogram),
		FailedByAccount:  make(map[string]int),
		Latency:          hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
	}
}

func (r *Result) add(account string, latency time.Duration, ok bool) {
	if !ok {
		r.Failed++
		r.FailedByAccount[account]++
		return
	}
	r.Answered++
	h := r.LatencyByAccount[account]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
		r.LatencyByAccount[account] = h
	}
	_ = h.RecordValue(latency.Microseconds())
	_ = r.Latency.RecordValue(latency.Microseconds())
}
