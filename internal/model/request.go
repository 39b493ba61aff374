package model

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthstile/backend"
	"amaranthstile/entry"
	"amaranthstile/membership"
)

const maxTries = 4

// request is one request on its way.
type request struct {
	run     *Simulation
	entry   int
	account *Account
	arrived time.Duration
	limit   time.Duration
	query   entry.Query
	busy    []membership.Candidate // endpoints that had no free slot
	at      membership.Candidate
}

// arrive makes one request and schedules the next.
func (r *Simulation) arrive() {
	if r.arrived >= r.options.Requests {
		return
	}
	r.arrived++
	r.open++
	q := &request{run: r, entry: r.rand.IntN(r.options.Entries), arrived: r.now, limit: r.options.RequestTimeout, account: r.account()}
	q.query = entry.Query{Service: serviceName, Repeatable: true}
	q.send()
	r.after(time.Duration(r.rand.ExpFloat64()/r.options.Rate*float64(time.Second)), r.arrive)
}

func (r *Simulation) account() *Account {
	x := r.rand.Float64()
	for i := range r.options.Accounts {
		a := &r.options.Accounts[i]
		if x -= a.Share; x < 0 {
			return a
		}
	}
	return &r.options.Accounts[0]
}

// send tries the next endpoint.
func (q *request) send() {
	q.query.Directory = q.run.directory
	query := q.query
	if q.noWait() {
		query.Tried = append(slices.Clone(query.Tried), q.busy...)
	}
	c, ok := q.run.selectors[q.entry].Select(query)
	if !ok && len(q.busy) > 0 {
		c, ok = q.run.selectors[q.entry].Select(q.query)
	}
	if !ok {
		q.finish(false)
		return
	}
	q.at = c
	e := q.run.endpoint(c)
	q.run.after(q.delay(), func() { e.take(q) })
}

// noWait reports whether the present try goes elsewhere rather than wait.
func (q *request) noWait() bool { return len(q.busy) < q.run.options.NoWaitAttempts }

func (r *Simulation) endpoint(c membership.Candidate) *endpoint {
	for _, e := range r.endpoints {
		if e.name() == c.Backend {
			return e
		}
	}
	return nil
}

func (q *request) delay() time.Duration {
	if q.at.Instance.Domain == q.run.domain(q.entry) {
		return localDelay
	}
	return remoteDelay
}

// answered takes an answer back to the entry.
func (q *request) answered(_ *endpoint, o backend.Outcome, load backend.Load) {
	q.run.after(q.delay(), func() {
		q.done(load)
		q.query.Tried = append(q.query.Tried, q.at)
		switch {
		case o == backend.OutcomeAnswered:
			q.finish(true)
		case o == backend.OutcomeError && len(q.query.Tried) < maxTries:
			q.send()
		default:
			q.finish(false)
		}
	})
}

// refused takes a refusal of the exit side back to the entry.
func (q *request) refused(e *endpoint) {
	load := e.queue.Load()
	q.run.after(q.delay(), func() {
		q.done(load)
		if q.noWait() {
			q.busy = append(q.busy, q.at)
			q.send()
			return
		}
		q.query.Tried = append(q.query.Tried, q.at)
		if len(q.query.Tried) < maxTries {
			q.send()
			return
		}
		q.finish(false)
	})
}

func (q *request) done(load backend.Load) {
	t := entry.Trial{Load: load.String()}
	if n := q.run.options.LoadReportEvery; n > 1 && q.run.rand.IntN(n) > 0 {
		t.Load = ""
	}
	q.run.selectors[q.entry].Done(q.at, t)
}

func (q *request) finish(ok bool) {
	q.run.open--
	q.run.result.add(q.account.Name, q.run.now-q.arrived, ok)
}

// Result is what a run measured.
type Result struct {
	Answered, Failed int
	Elapsed          time.Duration
	// LatencyByAccount holds the response times in microseconds, by account.
	LatencyByAccount map[string]*hdrhistogram.Histogram
	// FailedByAccount counts requests without an answer, by account.
	FailedByAccount map[string]int
	// Latency holds the response times of all accounts in microseconds.
	Latency *hdrhistogram.Histogram
}

const (
	longestMicros = 600_000_000
	digits        = 3
)

func newResult() Result {
	return Result{
		LatencyByAccount: make(map[string]*hdrhistogram.Histogram),
		FailedByAccount:  make(map[string]int),
		Latency:          hdrhistogram.New(1, longestMicros, digits),
	}
}

func (r *Result) add(account string, took time.Duration, ok bool) {
	if !ok {
		r.Failed++
		r.FailedByAccount[account]++
		return
	}
	r.Answered++
	h := r.LatencyByAccount[account]
	if h == nil {
		h = hdrhistogram.New(1, longestMicros, digits)
		r.LatencyByAccount[account] = h
	}
	_ = h.RecordValue(took.Microseconds())
	_ = r.Latency.RecordValue(took.Microseconds())
}
