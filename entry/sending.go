package entry

import (
	"context"
	"time"

	"amaranthstile/link"
	"amaranthstile/result"
)

const (
	// maxSends bounds how often one request is sent over a link, tries that were not run included.
	maxSends = 16
	// maxWaits bounds how many endpoints one request waits at: where two are too crowded, so are the others, and each more
	// costs a way there.
	maxWaits = 2
)

// sending is the sending of one request until an answer is there or nothing more may be tried.
//
// A request that may be repeated is joined by a second try elsewhere when the first takes far longer than usual,
// and the first good answer counts. Any other request is sent again only after a try that was not run.
type sending struct {
	handler *Handler
	ctx     context.Context
	t       *transfer
	pacer   *pacer

	results chan *attempt
	running map[*attempt]struct{}
	sends   int
	waits   int // tries that waited for a slot and got none
	loads   int // tries that may have reached a backend server, those running included
	spent   bool
	spare   *attempt // a whole answer that says that another endpoint might do better
	last    error    // of the last try that failed
}

// run returns the attempt whose answer counts; the caller closes it.
func (h *Handler) run(ctx context.Context, t *transfer) (*attempt, error) {
	s := &sending{
		handler: h,
		ctx:     ctx,
		t:       t,
		pacer:   h.pacers.of(t.service),
		results: make(chan *attempt, maxSends),
		running: make(map[*attempt]struct{}, 1),
	}
	s.pacer.first()
	s.start()
	won := s.wait()
	s.leave()
	if won != nil {
		return won, nil
	}
	return nil, s.failure()
}

// hedged tells whether further tries may run beside the first.
func (s *sending) hedged() bool { return s.t.repeatable() && s.t.rest == nil }

// wait takes the outcomes of tries as they come.
func (s *sending) wait() *attempt {
	var slow <-chan time.Time
	next := func() {}
	if s.hedged() && len(s.running) > 0 {
		timer := time.NewTimer(s.patience())
		defer timer.Stop()
		slow = timer.C
		next = func() { timer.Reset(s.patience()) }
	}
	for len(s.running) > 0 {
		select {
		case a := <-s.results:
			if s.settle(a) {
				return a
			}
		case <-slow:
			s.handler.counts.slow.Add(1)
			s.t.reached = true // as far as anyone can tell
			s.again()
		}
		next()
	}
	won := s.spare
	s.spare = nil
	return won
}

// joinShare is the share of the time left after which a try that waits for no slot is joined by another at the latest: the other
// one then has as long.
const joinShare = 0.5

// patience is how long the running tries run alone. One that waits for a slot takes long in a crowd, where a second one would
// only add to it.
func (s *sending) patience() time.Duration {
	limit := s.pacer.limit()
	for a := range s.running {
		if a.wait {
			return limit
		}
	}
	if deadline, ok := s.ctx.Deadline(); ok {
		limit = min(limit, time.Duration(joinShare*float64(time.Until(deadline))))
	}
	return max(limit, time.Millisecond)
}

// settle takes the outcome of a try and reports whether its answer counts.
func (s *sending) settle(a *attempt) bool {
	delete(s.running, a)
	s.t.note(a)
	s.handler.options.Selector.Done(a.to, AttemptResult{Took: a.took, Err: a.err, Load: a.load})
	if a.err == nil {
		s.pacer.observe(a.took)
		if !s.hedged() || !a.retryStatus() {
			return true
		}
		s.keep(a)
		s.t.reached = true
		s.again()
		return false
	}
	a.close()
	s.last = s.t.worst(a.err)
	if result.RunOf(a.err) != result.NotRun {
		s.t.reached = true
		s.again()
		return false
	}
	if result.Is(a.err, result.BackendShed) {
		s.t.reached = true
	}
	s.loads--
	if !a.wait && result.Is(a.err, result.BackendBusy) {
		s.t.noteBusy(a.to)
	}
	if s.mayGoElsewhere(a) && s.start() {
		s.handler.counts.elsewhere.Add(1)
	}
	return false
}

// mayGoElsewhere tells whether a request that was not run may be sent to another endpoint.
func (s *sending) mayGoElsewhere(a *attempt) bool {
	switch result.CodeOf(a.err) {
	case result.BackendBusy, result.QueueFull:
		if a.wait {
			s.waits++
		}
		if s.waits >= maxWaits {
			return false
		}
	case result.NoStanding, result.KeyRejected, result.KeyMissing, result.RetryBudgetSpent:
		return false
	}
	return !s.t.begun.Load() && s.sends < maxSends && s.ctx.Err() == nil
}

// keep holds an answer back in case that no better one comes.
func (s *sending) keep(a *attempt) {
	if s.spare != nil {
		s.spare.close()
	}
	s.spare = a
}

// again sends a request that may be repeated to one more endpoint, within the budget.
func (s *sending) again() {
	if !s.hedged() || s.loads >= s.t.route.MaxAttempts || s.ctx.Err() != nil {
		return
	}
	if !s.pacer.take() {
		s.spent = true
		s.handler.counts.spent.Add(1)
		return
	}
	if !s.start() {
		s.pacer.giveBack()
		return
	}
	s.handler.counts.retries.Add(1)
}

// start sends the request to one endpoint that was not tried before.
func (s *sending) start() bool {
	h, t := s.handler, s.t
	c, wait, ok := t.choose(h.options.Selector, h.options.Directory())
	if !ok {
		return false
	}
	t.tried = append(t.tried, c)
	s.sends++
	s.loads++
	t.sends = s.sends
	ctx, cancel := context.WithCancel(s.ctx)
	a := &attempt{to: c, cancel: cancel, wait: wait}
	s.running[a] = struct{}{}
	if err := h.mayStillSend(t); err != nil {
		a.err = result.WithRun(err, result.NotRun)
		s.results <- a
		return true
	}
	exchange := h.options.NewExchangeID()
	out := t.outgoing(ctx, c, exchange)
	if !wait {
		out.Header.Set(link.HeaderNoWait, "1")
	}
	if !t.repeatable() && h.options.ProbeIdleLinks {
		ctx = link.WithPathProbe(ctx)
	}
	if !s.hedged() {
		h.send(ctx, a, out, exchange)
		s.results <- a
		return true
	}
	go func() {
		h.send(ctx, a, out, exchange)
		s.results <- a
	}()
	return true
}

// leave gives up the tries that still run and the answer that was held back.
func (s *sending) leave() {
	if s.spare != nil {
		s.spare.close()
	}
	for a := range s.running {
		a.cancel()
	}
	if n := len(s.running); n > 0 {
		go s.collect(n)
	}
}

// collect waits for the tries that were given up.
func (s *sending) collect(n int) {
	for range n {
		a := <-s.results
		a.close()
		err := result.New(result.TryGivenUp, "another try answered first")
		s.handler.options.Selector.Done(a.to, AttemptResult{Took: a.took, Err: err, Load: a.load})
	}
}

// failure is what the caller is told.
func (s *sending) failure() error {
	if s.last == nil {
		s.last = result.WithRun(result.New(result.NoEndpoint, "no endpoint of service %s", s.t.service), result.NotRun)
	}
	run := result.RunOf(s.last)
	if broken := s.t.broken.Load(); broken != nil {
		return result.WithRun(*broken, run)
	}
	switch s.ctx.Err() {
	case nil:
	case context.DeadlineExceeded:
		return result.WithRun(result.Wrap(result.DeadlinePassed, s.last, "time limit passed"), run)
	default:
		return result.WithRun(result.Wrap(result.CallerGone, s.last, "the caller left"), run)
	}
	if s.spent {
		return result.WithRun(result.Wrap(result.RetryBudgetSpent, s.last, "no retry left"), run)
	}
	return s.last
}
