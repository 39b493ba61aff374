package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"amaranthstile/internal/contain"
	"amaranthstile/link"
	"amaranthstile/membership"
	"amaranthstile/result"
)

// dispatch sends one request in one or more attempts until it has a response or no further attempt is allowed.
//
// A repeatable request is hedged: when the first attempt takes far longer than usual, a second one starts at another
// endpoint, and the first good response wins. Any other request is sent again only after an attempt that was not run.
type dispatch struct {
	handler *Handler
	ctx     context.Context
	state   *requestState
	policy  *retryPolicy

	results      chan *attempt
	running      map[*attempt]struct{}
	possibleRuns int                    // attempts that may have reached a backend server, including those in flight
	budgetSpent  bool                   // the retry budget denied a retry
	fallback     *attempt               // a whole response with a retryable status, used if no better one arrives
	lastErr      error                  // the error of the last failed attempt
	late         []membership.Candidate // endpoints whose path probe was late
	awaitedPaths bool                   // the late ones were waited for
}

// run sends the request and returns the attempt whose response goes to the client. The result must be closed.
func (h *Handler) run(ctx context.Context, state *requestState) (*attempt, error) {
	d := &dispatch{
		handler: h,
		ctx:     ctx,
		state:   state,
		policy:  h.retryPolicies.forService(state.service),
		results: make(chan *attempt, maxSends),
		running: make(map[*attempt]struct{}, 1),
	}
	d.policy.countRequest()
	d.startAttempt()
	winner := d.awaitResponse()
	d.abandon()
	if winner != nil {
		return winner, nil
	}
	return nil, d.failure()
}

// mayHedge reports whether other attempts may run concurrently with the first one: the request must be repeatable and
// its body buffered whole.
func (d *dispatch) mayHedge() bool { return d.state.repeatable() && d.state.bodyRest == nil }

// awaitResponse handles the outcomes of attempts as they arrive and hedges slow ones. It returns the attempt whose
// response goes to the client, or nil.
func (d *dispatch) awaitResponse() *attempt {
	var hedge <-chan time.Time
	resetTimer := func() {}
	if d.mayHedge() && len(d.running) > 0 {
		timer := time.NewTimer(d.hedgeDelay())
		defer timer.Stop()
		hedge = timer.C
		resetTimer = func() { timer.Reset(d.hedgeDelay()) }
	}
	for len(d.running) > 0 {
		select {
		case a := <-d.results:
			if d.handleOutcome(a) {
				return a
			}
		case <-hedge:
			d.handler.counters.slow.Add(1)
			d.state.reachedBackend = true // the slow attempt must be assumed to have arrived
			d.retry()
		}
		resetTimer()
	}
	winner := d.fallback
	d.fallback = nil
	return winner
}

// hedgeShare is the share of the remaining time after which an attempt that does not wait for a slot is hedged at the
// latest: the second attempt then has as much time as the first one had.
const hedgeShare = 0.5

// hedgeDelay returns how long the attempts in flight run before another one joins them. While one of them waits for a
// slot, only the retry policy's threshold counts: such an attempt takes long under overload, and hedging it early would
// only add to the overload.
func (d *dispatch) hedgeDelay() time.Duration {
	limit := d.policy.slowThreshold()
	for a := range d.running {
		if a.waits {
			return limit
		}
	}
	if deadline, ok := d.ctx.Deadline(); ok {
		limit = min(limit, time.Duration(hedgeShare*float64(time.Until(deadline))))
	}
	return max(limit, time.Millisecond)
}

// handleOutcome handles a finished attempt and reports whether its response goes to the client.
func (d *dispatch) handleOutcome(a *attempt) bool {
	delete(d.running, a)
	d.state.recordAttempt(a)
	d.handler.statements.record(a, time.Now())
	d.handler.options.Selector.Done(a.endpoint, AttemptResult{Took: a.took, Err: a.err, Load: a.load})
	if a.err == nil {
		d.policy.observe(a.took)
		if !d.mayHedge() || !a.hasRetryableStatus() {
			return true
		}
		d.keepFallback(a)
		d.state.reachedBackend = true
		d.retry()
		return false
	}
	a.close()
	d.lastErr = d.state.mergeRun(a.err)
	if result.RunOf(a.err) != result.NotRun {
		d.state.reachedBackend = true
		d.retry()
		return false
	}
	if result.Is(a.err, result.BackendShed) {
		d.state.reachedBackend = true
	}
	d.possibleRuns--
	if d.probesPaths() && link.IsLate(a.err) {
		d.late = append(d.late, a.endpoint)
	}
	again := d.state.sequence.Refused(a.endpoint, a.waits, result.CodeOf(a.err))
	if again && !d.state.restRead.Load() && d.ctx.Err() == nil && d.startAttempt() {
		d.handler.counters.elsewhere.Add(1)
	}
	return false
}

// keepFallback keeps a response in case no better one arrives.
func (d *dispatch) keepFallback(a *attempt) {
	if d.fallback != nil {
		d.fallback.close()
	}
	d.fallback = a
}

// retry sends a repeatable request to one more endpoint, within the retry budget.
func (d *dispatch) retry() {
	if !d.mayHedge() || d.possibleRuns >= d.state.route.MaxAttempts || d.ctx.Err() != nil {
		return
	}
	if !d.policy.takeRetry() {
		d.budgetSpent = true
		d.handler.counters.budgetSpent.Add(1)
		return
	}
	if !d.startAttempt() {
		d.policy.returnRetry()
		return
	}
	d.handler.counters.retries.Add(1)
}

// startAttempt sends the request to an endpoint that was not tried before. It reports whether there was one. If the
// request may be hedged, the attempt runs in the background.
func (d *dispatch) startAttempt() bool {
	h, state := d.handler, d.state
	c, wait, ok := state.sequence.Next(h.options.Selector, state.query(h.options.Directory()))
	if !ok && d.awaitLatePath() {
		c, wait, ok = state.sequence.Next(h.options.Selector, state.query(h.options.Directory()))
	}
	if !ok {
		return false
	}
	d.possibleRuns++
	ctx, cancel := context.WithCancel(d.ctx)
	a := &attempt{endpoint: c, cancel: cancel, waits: wait, lease: state.lease}
	d.running[a] = struct{}{}
	if err := h.recheckAuthorization(state); err != nil {
		a.err = result.WithRun(err, result.NotRun)
		d.results <- a
		return true
	}
	exchangeID := h.options.NewExchangeID()
	out := state.newAttemptRequest(ctx, c, exchangeID)
	switch {
	case !wait:
		out.Header.Set(link.HeaderNoWait, "1")
	case state.sequence.IsLastWait():
		out.Header.Set(link.HeaderAcceptLate, "1")
	}
	if share := h.options.RetryShare(); state.account == nil && share > 0 {
		out.Header.Set(link.HeaderRetryShare, strconv.FormatFloat(share, 'f', 2, 64))
	}
	if s := h.statements.last(c.Backend, time.Now()); s != "" {
		out.Header.Set(link.HeaderStatement, s)
	}
	if d.probesPaths() {
		ctx = link.WithPathProbe(ctx)
	}
	if !d.mayHedge() {
		d.runAttempt(ctx, a, out, exchangeID)
		return true
	}
	go d.runAttempt(ctx, a, out, exchangeID)
	return true
}

// runAttempt sends the request and reports the outcome. A panic ends the attempt only; the request may have run by then.
func (d *dispatch) runAttempt(ctx context.Context, a *attempt, out *http.Request, exchangeID string) {
	h := d.handler
	contain.Run(func() { h.send(ctx, a, out, exchangeID) }, func(reason any, stack []byte) {
		h.options.OnPanic(d.state.request, reason, stack)
		a.err = result.WithRun(result.New(result.Internal, "the attempt panicked"), result.MayHaveRun)
	})
	d.results <- a
}

// abandon cancels the attempts that are still in flight and closes the fallback response.
func (d *dispatch) abandon() {
	if d.fallback != nil {
		d.fallback.close()
	}
	for a := range d.running {
		a.cancel()
	}
	if n := len(d.running); n > 0 {
		go d.collectAbandoned(n)
	}
}

// collectAbandoned waits for the cancelled attempts and reports them to the selector.
func (d *dispatch) collectAbandoned(n int) {
	for range n {
		a := <-d.results
		a.close()
		d.handler.statements.record(a, time.Now())
		err := result.New(result.TryGivenUp, "another attempt got its response first")
		d.handler.options.Selector.Done(a.endpoint, AttemptResult{Took: a.took, Err: err, Load: a.load})
	}
}

// failure returns the error that the client gets.
func (d *dispatch) failure() error {
	if d.lastErr == nil {
		d.lastErr = result.WithRun(result.New(result.NoEndpoint, "no endpoint available for service %s", d.state.service), result.NotRun)
	}
	run := result.RunOf(d.lastErr)
	if broken := d.state.restErr.Load(); broken != nil {
		return result.WithRun(*broken, run)
	}
	switch d.ctx.Err() {
	case nil:
	case context.DeadlineExceeded:
		return result.WithRun(result.Wrap(result.DeadlinePassed, d.lastErr, "the deadline passed"), run)
	default:
		return result.WithRun(result.Wrap(result.CallerGone, d.lastErr, "the client disconnected"), run)
	}
	if d.budgetSpent {
		return result.WithRun(result.Wrap(result.RetryBudgetSpent, d.lastErr, "the retry budget allows no further retry"), run)
	}
	return d.lastErr
}
